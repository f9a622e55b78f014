"""Outcomes of the last seconds on each route of a service during a rollout."""

import collections

from rattanlug.fleet import outcome_count

WINDOW_SECONDS = 3.0
_BUCKET_SECONDS = 0.5
_BUCKETS = int(WINDOW_SECONDS / _BUCKET_SECONDS)

# Service and route.
_RouteKey = tuple[str, str]


class OutcomeWindow:
    """Counts good and bad responses of the new and the old version.

    See `fleet.outcome_count` for what a bad response is.

    Only recent responses count, so that a fault that begins late isn't hidden by
    earlier good responses.
    """

    def __init__(self) -> None:
        self._buckets: collections.deque[tuple[int, dict[_RouteKey, list[int]]]] = (
            collections.deque()
        )

    def add(
        self, service: str, route: str, is_new: bool, bad: bool, now: float
    ) -> None:
        """Count a response."""
        bucket_number = int(now / _BUCKET_SECONDS)
        if not self._buckets or self._buckets[-1][0] != bucket_number:
            self._buckets.append((bucket_number, {}))
        # New good, new bad, old good and old bad responses.
        counts = self._buckets[-1][1].setdefault((service, route), [0, 0, 0, 0])
        counts[(0 if is_new else 2) + int(bad)] += 1
        self._expire(bucket_number)

    def counts(self, now: float) -> tuple[outcome_count.OutcomeCount, ...]:
        """Return the sums over the window, by service and route."""
        self._expire(int(now / _BUCKET_SECONDS))
        sums: dict[_RouteKey, list[int]] = {}
        for _, bucket in self._buckets:
            for key, counts in bucket.items():
                total = sums.setdefault(key, [0, 0, 0, 0])
                for index, count in enumerate(counts):
                    total[index] += count
        return tuple(
            outcome_count.OutcomeCount(*key, *counts)
            for key, counts in sorted(sums.items())
        )

    def _expire(self, bucket_number: int) -> None:
        while self._buckets and self._buckets[0][0] <= bucket_number - _BUCKETS:
            self._buckets.popleft()
