"""The load report of an upstream, which shows changes with a lag."""

import collections
from typing import Any


class LoadReport:
    """Reports load values after a lag.

    Parameters
    ----------
    lag_s : float
    """

    def __init__(self, lag_s: float):
        self._lag_s = lag_s
        self._changes: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque()
        )

    def record(self, values: dict[str, Any], now: float) -> None:
        """Record the current values."""
        self._changes.append((now, values))
        self.read(now)

    def read(self, now: float) -> dict[str, Any]:
        """Return the values of ``lag_s`` ago, or the oldest ones recorded."""
        while len(self._changes) > 1 and self._changes[1][0] <= now - self._lag_s:
            self._changes.popleft()
        return self._changes[0][1]
