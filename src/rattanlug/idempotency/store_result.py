"""Result of a step on the table service."""

from typing import NamedTuple

from rattanlug.idempotency import record, store_status


class StoreResult(NamedTuple):
    """Outcome and row of one call to the table service.

    Attributes
    ----------
    status : store_status.StoreStatus
    revision : int
        Revision after a write, of the row that was read, or of the conflicting row.
    value : record.OperationRecord or None
        Row that was read, or the conflicting row; ``None`` if absent.
    """

    status: store_status.StoreStatus
    revision: int = 0
    value: record.OperationRecord | None = None
