"""Cache of final records in a VM's memory."""

import collections

from rattanlug.idempotency import record, state


class RecentRecords:
    """Cache of the newest ``done`` records, for retries while the store is down.

    Parameters
    ----------
    max_bytes : int
        Limit on the total size of the bodies plus a fixed overhead per record.
    """

    _OVERHEAD_BYTES = 1024

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._bytes = 0
        self._records: collections.OrderedDict[str, record.OperationRecord] = (
            collections.OrderedDict()
        )

    def add(self, key: str, final: record.OperationRecord) -> None:
        """Add a record; one that isn't ``done`` or has no response is ignored."""
        if final.state is not state.State.DONE or final.answer is None:
            return
        if key in self._records:
            return
        self._records[key] = final
        self._bytes += self._size(final)
        while self._bytes > self._max_bytes:
            _, oldest = self._records.popitem(last=False)
            self._bytes -= self._size(oldest)

    def get(self, key: str) -> record.OperationRecord | None:
        """Return the record of an operation, ``None`` if it is not cached."""
        return self._records.get(key)

    def _size(self, final: record.OperationRecord) -> int:
        return self._OVERHEAD_BYTES + len(final.answer.body)
