"""Blocks of one address family in flat arrays."""

import array
import bisect
import itertools
import operator
import sys
from collections.abc import Iterable


class BlockTableError(ValueError):
    """The bytes are not a block table or not a change of this one."""


class SortedBlocks:
    """Start addresses in rising order, with one site each.

    Parameters
    ----------
    typecode : str
        Of the start addresses: ``"I"`` for 32 bits, ``"Q"`` for 64 bits.
    """

    def __init__(self, typecode: str):
        self.starts = array.array(typecode)
        self.sites = array.array("H")

    def __len__(self) -> int:
        return len(self.starts)

    @property
    def row_bytes(self) -> int:
        """Bytes that one block takes."""
        return self.starts.itemsize + self.sites.itemsize

    def load(self, data: memoryview, count: int) -> None:
        """Replace the content by ``count`` blocks, starts first, little-endian.

        Raises
        ------
        BlockTableError
            If the starts do not rise.
        """
        starts, sites = array.array(self.starts.typecode), array.array("H")
        split = count * starts.itemsize
        starts.frombytes(data[:split])
        sites.frombytes(data[split : split + count * sites.itemsize])
        if sys.byteorder == "big":
            starts.byteswap()
            sites.byteswap()
        following = itertools.islice(starts, 1, None)
        if not all(map(operator.lt, starts, following)):
            raise BlockTableError("the blocks are not in rising order")
        self.starts, self.sites = starts, sites

    def dump(self) -> bytes:
        """Return the form that ``load`` reads."""
        starts, sites = self.starts, self.sites
        if sys.byteorder == "big":
            starts, sites = starts[:], sites[:]
            starts.byteswap()
            sites.byteswap()
        return starts.tobytes() + sites.tobytes()

    def apply(self, changes: Iterable[tuple[int, int | None]]) -> None:
        """Add, replace or remove blocks.

        Parameters
        ----------
        changes : iterable of (start, site)
            A later change of the same start wins; a site of None removes the block.
        """
        # Copies the parts between the changes, which takes one pass over memory for
        # any number of changes; inserting one by one would take a pass for each.
        edits = []
        for start, site in sorted(dict(changes).items()):
            index = bisect.bisect_left(self.starts, start)
            exists = index < len(self.starts) and self.starts[index] == start
            edits.append((index, exists, start, site))
        length = len(self.starts)
        for _, exists, _, site in edits:
            length += (site is not None) - exists
        self.starts = _rebuild(self.starts, length, edits, 2)
        self.sites = _rebuild(self.sites, length, edits, 3)


def _rebuild(old, length, edits, column):
    new = array.array(old.typecode, bytes(length * old.itemsize))
    source, target = memoryview(old), memoryview(new)
    read = write = 0
    for edit in edits:
        index, exists, _, site = edit
        target[write : write + index - read] = source[read:index]
        write += index - read
        if site is not None:
            target[write] = edit[column]
            write += 1
        read = index + exists
    target[write:] = source[read:]
    return new
