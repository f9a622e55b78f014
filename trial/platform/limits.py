"""Request limits of the platform."""

import collections


class RateLimit:
    """Accepts at most a number of requests in any window of one second.

    Parameters
    ----------
    per_second : int
    """

    def __init__(self, per_second: int):
        self._per_second = per_second
        self._accepted: collections.deque[float] = collections.deque()
        self._rejected = 0

    @property
    def rejected(self) -> int:
        """Number of requests above the limit so far."""
        return self._rejected

    def accept(self, now: float) -> bool:
        """Count a request and return whether it is within the limit."""
        while self._accepted and self._accepted[0] <= now - 1:
            self._accepted.popleft()
        if len(self._accepted) >= self._per_second:
            self._rejected += 1
            return False
        self._accepted.append(now)
        return True
