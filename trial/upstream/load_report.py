"""The load report of an upstream, which lags behind."""

import collections
from typing import Any


class LoadReport:
    """Reports the values of some time ago.

    Parameters
    ----------
    lag_s : float
    """

    def __init__(self, lag_s: float):
        self._lag_s = lag_s
        self._changes: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque()
        )

    def note(self, values: dict[str, Any], now: float) -> None:
        """Note values as they are now."""
        self._changes.append((now, values))
        self.read(now)

    def read(self, now: float) -> dict[str, Any]:
        """Return the values of one lag ago, or the oldest known."""
        while len(self._changes) > 1 and self._changes[1][0] <= now - self._lag_s:
            self._changes.popleft()
        return self._changes[0][1]
