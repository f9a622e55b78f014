"""A write in a store transaction."""

from typing import NamedTuple


class StoreWrite(NamedTuple):
    """A conditional write of one row.

    Attributes
    ----------
    table : str
    key : str
    value : bytes or None
        None removes the row.
    expected_version : int or None
        Version that the row must have; 0 if it must not exist, None for any.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int | None
