"""One row that a transaction writes."""

from typing import NamedTuple


class StoreWrite(NamedTuple):
    """A row to write on a condition.

    Attributes
    ----------
    table : str
    key : str
    value : bytes or None
        None removes the row.
    expected_version : int or None
        Version that the row must have, 0 for no row; None for any.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int | None
