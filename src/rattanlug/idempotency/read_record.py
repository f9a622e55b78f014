"""Step that reads a record."""

from typing import NamedTuple


class ReadRecord(NamedTuple):
    """Read the record's row; the result is a ``store_result.StoreResult``.

    Attributes
    ----------
    key : str
    delay : float
        Seconds to wait before reading.
    """

    key: str
    delay: float = 0.0
