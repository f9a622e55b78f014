"""Change of one block in a block table."""

from typing import NamedTuple


class BlockChange(NamedTuple):
    """A block that is added, moved to another site or removed.

    Attributes
    ----------
    start : int
        First address of the block: 32 bits for IPv4, the upper 64 bits for IPv6.
    site : int or None
        Number of the site, 0 to 65,535; see ``block_table``. None removes the block,
        which extends the one before it.
    ipv6 : bool
    """

    start: int
    site: int | None
    ipv6: bool = False
