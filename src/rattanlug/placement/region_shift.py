"""Limits how fast requests move from one region to another."""

import collections
from collections.abc import Callable

WINDOW_SECONDS = 2.0
_BUCKET_SECONDS = 0.25
_BUCKETS = int(WINDOW_SECONDS / _BUCKET_SECONDS)
# With fewer requests in the earlier window, its shares say nothing.
LEAST_REQUESTS = 12
# Part of the bound that one VM uses, since the sum over VMs moves with the mix of
# their traffic too.
USED_SHARE = 0.35


class RegionShift:
    """Compares the shares of regions in a window with those in the window before.

    Parameters
    ----------
    bound : float
        Share of the requests that may change region from one window to the next.
    """

    def __init__(self, bound: float) -> None:
        self._bound = bound
        self._buckets: collections.deque[tuple[int, collections.Counter[str]]] = (
            collections.deque()
        )

    def allowed_regions(self, now: float) -> Callable[[str], bool]:
        """Return a function that tells whether a request may run in a region."""
        recent, earlier = self._windows(int(now / _BUCKET_SECONDS))
        before = sum(earlier.values())
        # One request more is always allowed, so that a share can grow from nothing.
        total = sum(recent.values()) + 1
        growth = USED_SHARE * self._bound

        def allows(region: str) -> bool:
            if before < LEAST_REQUESTS:
                return True
            share = earlier.get(region, 0) / before
            return recent.get(region, 0) <= (share + growth) * total

        return allows

    def count(self, region: str, now: float) -> None:
        """Count a request that was sent to a region."""
        number = int(now / _BUCKET_SECONDS)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, collections.Counter()))
            while self._buckets[0][0] <= number - 2 * _BUCKETS:
                self._buckets.popleft()
        self._buckets[-1][1][region] += 1

    def clear(self) -> None:
        """Start anew, after upstreams were lost or came back."""
        self._buckets.clear()

    def _windows(self, number: int) -> tuple[dict[str, int], dict[str, int]]:
        recent: dict[str, int] = {}
        earlier: dict[str, int] = {}
        for each, counts in self._buckets:
            if each > number - _BUCKETS:
                target = recent
            elif each > number - 2 * _BUCKETS:
                target = earlier
            else:
                continue
            for region, count in counts.items():
                target[region] = target.get(region, 0) + count
        return recent, earlier
