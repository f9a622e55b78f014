"""A row of a table in the store."""

from typing import NamedTuple


class StoreRow(NamedTuple):
    """One row.

    Attributes
    ----------
    key : str
    value : bytes
    version : int
        Number of the transaction that wrote the row; 0 if there is no row.
    removed : bool
        Whether the row was removed; only a read of the changes contains such rows.
    """

    key: str
    value: bytes
    version: int
    removed: bool = False
