"""Step that writes a record."""

from typing import NamedTuple

from rattanlug.idempotency import record


class WriteRecord(NamedTuple):
    """Write the row conditionally; the result is a ``store_result.StoreResult``.

    Attributes
    ----------
    key : str
    expected : int
        Revision that the row must have, 0 if it must be absent.
    value : record.OperationRecord
    delay : float
        Seconds to wait before writing.
    """

    key: str
    expected: int
    value: record.OperationRecord
    delay: float = 0.0
