"""Table that maps client addresses to sites.

A site is a numbered group of clients that use the same data centres, nearest first.
"""

import bisect
import socket
import struct
import zlib
from collections.abc import Iterable, Sequence

from rattanlug.lookup import block_change, sorted_blocks

_HEADER = struct.Struct("<4sHxxQII")
_CHANGES_HEADER = struct.Struct("<4sxxxxQII")
_CHECKSUM = struct.Struct("<I")
_CHANGE = struct.Struct("<QIBx")
_TABLE_MAGIC = b"RLB1"
_CHANGES_MAGIC = b"RLC1"
_REMOVED = 1 << 16
_MAPPED_PREFIX = bytes(10) + b"\xff\xff"
# Bound once, since a look-up may take only 5 microseconds and each attribute access
# costs about 30 ns.
_PTON, _IPV4 = socket.inet_pton, socket.AF_INET
_FROM_BYTES, _BISECT = int.from_bytes, bisect.bisect_right


class BlockTable:
    """Blocks of IPv4 addresses, and of IPv6 prefixes of at most 64 bits.

    A block extends from its start to the start of the next block. Addresses before the
    first block belong to the default site.

    Parameters
    ----------
    default_site : int
    """

    def __init__(self, default_site: int = 0):
        self._default_site = default_site
        self._version = 0
        self._ipv4 = sorted_blocks.SortedBlocks("I")
        self._ipv6 = sorted_blocks.SortedBlocks("Q")

    def __len__(self) -> int:
        return len(self._ipv4) + len(self._ipv6)

    @property
    def version(self) -> int:
        """Version of the content."""
        return self._version

    @classmethod
    def from_bytes(cls, data: bytes) -> "BlockTable":
        """Return the table that ``to_bytes`` wrote.

        Raises
        ------
        sorted_blocks.BlockTableError
            If the data is truncated, damaged or not in ascending order.
        """
        body = _verified_body(data, _TABLE_MAGIC, _HEADER)
        _, default_site, version, ipv4, ipv6 = _HEADER.unpack_from(data)
        table = cls(default_site)
        table._version = version
        split = ipv4 * table._ipv4.row_bytes
        if len(body) != split + ipv6 * table._ipv6.row_bytes:
            raise sorted_blocks.BlockTableError(
                "the length does not match the numbers of blocks"
            )
        table._ipv4.load(body[:split], ipv4)
        table._ipv6.load(body[split:], ipv6)
        return table

    def to_bytes(self) -> bytes:
        """Return the table with a checksum: 6 bytes per block, 10 for IPv6."""
        header = _HEADER.pack(
            _TABLE_MAGIC,
            self._default_site,
            self._version,
            len(self._ipv4),
            len(self._ipv6),
        )
        return _append_checksum(header, self._ipv4.dump(), self._ipv6.dump())

    def site_of(self, address: str) -> int:
        """Return the site of an address.

        Raises
        ------
        ValueError
            If ``address`` is not an IP address.
        """
        return self.block_of(address)[1]

    def block_of(self, address: str) -> tuple[int, int]:
        """Return the block of an address.

        Parameters
        ----------
        address : str

        Returns
        -------
        tuple of (int, int)
            Start of the block, 0 if the address is before all blocks, and the site. A
            plain tuple, since a named tuple makes a look-up take 10% longer.

        Raises
        ------
        ValueError
            If ``address`` is not an IP address.
        """
        try:
            key = _FROM_BYTES(_PTON(_IPV4, address))
            blocks = self._ipv4
        except OSError:
            packed = _pack_ipv6(address)
            if packed.startswith(_MAPPED_PREFIX):
                key, blocks = _FROM_BYTES(packed[12:]), self._ipv4
            else:
                key, blocks = _FROM_BYTES(packed[:8]), self._ipv6
        index = _BISECT(blocks.starts, key) - 1
        if index < 0:
            return 0, self._default_site
        return blocks.starts[index], blocks.sites[index]

    def apply(self, data: bytes) -> None:
        """Apply changes from ``pack_changes`` to this version.

        Raises
        ------
        sorted_blocks.BlockTableError
            If the data is damaged or for another version; the table is unchanged.
        """
        body = _verified_body(data, _CHANGES_MAGIC, _CHANGES_HEADER)
        _, base_version, count, _ = _CHANGES_HEADER.unpack_from(data)
        if base_version != self._version:
            raise sorted_blocks.BlockTableError(
                f"changes to version {base_version}, but the table has {self._version}"
            )
        if len(body) != count * _CHANGE.size:
            raise sorted_blocks.BlockTableError(
                "the length does not match the number of changes"
            )
        changes = ([], [])
        for start, site, ipv6 in _CHANGE.iter_unpack(body):
            if ipv6 > 1 or site > _REMOVED or (not ipv6 and start >= 1 << 32):
                raise sorted_blocks.BlockTableError(
                    "a field of a change is out of range"
                )
            changes[ipv6].append((start, None if site == _REMOVED else site))
        for blocks, family_changes in zip(
            (self._ipv4, self._ipv6), changes, strict=True
        ):
            if family_changes:
                blocks.apply(family_changes)
        self._version += 1


def pack_changes(
    base_version: int, changes: Sequence[block_change.BlockChange]
) -> bytes:
    """Return the encoded changes from ``base_version`` to the next version.

    Parameters
    ----------
    base_version : int
    changes : sequence of block_change.BlockChange

    Returns
    -------
    bytes
        14 bytes per change, plus header and checksum.
    """
    header = _CHANGES_HEADER.pack(_CHANGES_MAGIC, base_version, len(changes), 0)
    return _append_checksum(header, *_pack_records(changes))


def _pack_records(changes: Iterable[block_change.BlockChange]):
    for change in changes:
        site = _REMOVED if change.site is None else change.site
        yield _CHANGE.pack(change.start, site, change.ipv6)


def _pack_ipv6(address: str) -> bytes:
    try:
        return socket.inet_pton(socket.AF_INET6, address)
    except OSError as exc:
        raise ValueError(f"{address!r} is not an IP address") from exc


def _append_checksum(*parts: bytes) -> bytes:
    data = b"".join(parts)
    return data + _CHECKSUM.pack(zlib.crc32(data))


def _verified_body(data: bytes, magic: bytes, header: struct.Struct) -> memoryview:
    view = memoryview(data)
    if len(view) < header.size + _CHECKSUM.size or view[: len(magic)] != magic:
        raise sorted_blocks.BlockTableError("not a block table or a set of changes")
    content = view[: -_CHECKSUM.size]
    if zlib.crc32(content) != _CHECKSUM.unpack(view[-_CHECKSUM.size :])[0]:
        raise sorted_blocks.BlockTableError("checksum mismatch")
    return content[header.size :]
