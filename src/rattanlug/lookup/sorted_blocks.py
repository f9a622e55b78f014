"""Blocks of one address family in flat arrays."""

import array
import bisect
import itertools
import operator
import sys
from collections.abc import Iterable


class BlockTableError(ValueError):
    """The data is not a valid block table or set of changes to the table."""


class SortedBlocks:
    """Start addresses in ascending order and the site of each.

    Parameters
    ----------
    typecode : str
        Array type of the start addresses: ``"I"`` for 32 bits, ``"Q"`` for 64 bits.
    """

    def __init__(self, typecode: str):
        self.starts = array.array(typecode)
        self.sites = array.array("H")

    def __len__(self) -> int:
        return len(self.starts)

    @property
    def row_bytes(self) -> int:
        """Size of one block in bytes."""
        return self.starts.itemsize + self.sites.itemsize

    def load(self, data: memoryview, count: int) -> None:
        """Load ``count`` blocks: all starts, then all sites, little-endian.

        Raises
        ------
        BlockTableError
            If the starts are not in ascending order.
        """
        starts, sites = array.array(self.starts.typecode), array.array("H")
        starts_bytes = count * starts.itemsize
        starts.frombytes(data[:starts_bytes])
        sites.frombytes(data[starts_bytes : starts_bytes + count * sites.itemsize])
        if sys.byteorder == "big":
            starts.byteswap()
            sites.byteswap()
        next_starts = itertools.islice(starts, 1, None)
        if not all(map(operator.lt, starts, next_starts)):
            raise BlockTableError("the blocks are not in ascending order")
        self.starts, self.sites = starts, sites

    def dump(self) -> bytes:
        """Return the data that ``load`` reads."""
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
            The last change of a start counts; a site of None removes the block.
        """
        # Copies the parts between the changes, which takes one pass over memory for any
        # number of changes. Separate insertions would take one pass each.
        positioned_changes = []
        for start, site in sorted(dict(changes).items()):
            index = bisect.bisect_left(self.starts, start)
            exists = index < len(self.starts) and self.starts[index] == start
            positioned_changes.append((index, exists, start, site))
        length = len(self.starts)
        for _, exists, _, site in positioned_changes:
            length += (site is not None) - exists
        self.starts = _rebuild(self.starts, length, positioned_changes, 2)
        self.sites = _rebuild(self.sites, length, positioned_changes, 3)


def _rebuild(old, length, positioned_changes, column):
    """Return an array with the changes; ``column`` is the new value's place in each."""
    new = array.array(old.typecode, bytes(length * old.itemsize))
    source, target = memoryview(old), memoryview(new)
    read = write = 0
    for change in positioned_changes:
        index, exists, _, site = change
        target[write : write + index - read] = source[read:index]
        write += index - read
        if site is not None:
            target[write] = change[column]
            write += 1
        read = index + exists
    target[write:] = source[read:]
    return new
