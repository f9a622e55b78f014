"""Final records that a VM keeps in memory."""

import collections

from rattanlug.idempotency import record, state


class RecentRecords:
    """The newest ``done`` records, for repeats while the store is unavailable.

    Parameters
    ----------
    max_bytes : int
        Bound on the sum of the bodies and a fixed cost for each record.
    """

    _COST_BYTES = 1024

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._bytes = 0
        self._records: collections.OrderedDict[str, record.OperationRecord] = (
            collections.OrderedDict()
        )

    def add(self, key: str, final: record.OperationRecord) -> None:
        """Keep a record; one that is not final or has no answer is ignored."""
        if final.state is not state.State.DONE or final.answer is None:
            return
        if key in self._records:
            return
        self._records[key] = final
        self._bytes += self._cost(final)
        while self._bytes > self._max_bytes:
            _, oldest = self._records.popitem(last=False)
            self._bytes -= self._cost(oldest)

    def get(self, key: str) -> record.OperationRecord | None:
        """Return the record of an operation, ``None`` when it is not held."""
        return self._records.get(key)

    def _cost(self, final: record.OperationRecord) -> int:
        return self._COST_BYTES + len(final.answer.body)
