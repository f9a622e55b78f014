"""A conditional write to the table service."""

from typing import Any, NamedTuple


class Write(NamedTuple):
    """One write of a transaction.

    Attributes
    ----------
    table : str
    key : str
    expected : int
        Revision that the row must have; 0 when it must be absent.
    value : object
        JSON value; None deletes the row.
    """

    table: str
    key: str
    expected: int
    value: Any
