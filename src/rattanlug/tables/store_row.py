"""A row of the platform's store."""

from typing import NamedTuple


class StoreRow(NamedTuple):
    """One row.

    Attributes
    ----------
    key : str
    value : bytes
    version : int
        Number of the transaction that wrote the row; 0 stands for no row.
    removed : bool
        Whether the row is gone; only a feed tells of those.
    """

    key: str
    value: bytes
    version: int
    removed: bool = False
