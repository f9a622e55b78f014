"""The result of a step on the table service."""

from typing import NamedTuple

from rattanlug.idempotency import record, store_status


class StoreResult(NamedTuple):
    """What the table service answered.

    Attributes
    ----------
    status : store_status.StoreStatus
    revision : int
        Revision after a write, of the row that was read or of the row that won.
    value : record.OperationRecord or None
        Row that was read or that won; ``None`` when absent.
    """

    status: store_status.StoreStatus
    revision: int = 0
    value: record.OperationRecord | None = None
