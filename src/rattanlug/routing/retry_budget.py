"""Retry budget of this VM."""

import collections

WINDOW_SECONDS = 10.0
BUCKET_SECONDS = 1.0
MAX_RETRY_RATIO = 0.1


class RetryBudget:
    """Allows retries up to 10% of the requests of the last 10 s.

    Counts are kept in buckets of 1 s. Retries don't count as requests, so they don't
    add to the budget.
    """

    def __init__(self):
        # Start time, number of requests and number of retries of each bucket.
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._requests = 0.0
        self._retries = 0.0

    def count_request(self, now: float) -> None:
        """Count a first attempt."""
        self._current_bucket(now)[1] += 1
        self._requests += 1

    def try_retry(self, now: float) -> bool:
        """Count a retry if the budget allows it.

        Returns
        -------
        bool
            False if the request must not be retried.
        """
        bucket = self._current_bucket(now)
        if self._retries + 1 > MAX_RETRY_RATIO * self._requests:
            return False
        bucket[2] += 1
        self._retries += 1
        return True

    def _current_bucket(self, now: float) -> list[float]:
        bucket_start = now // BUCKET_SECONDS * BUCKET_SECONDS
        if not self._buckets or self._buckets[-1][0] < bucket_start:
            self._buckets.append([bucket_start, 0.0, 0.0])
        while self._buckets[0][0] <= now - WINDOW_SECONDS:
            _, requests, retries = self._buckets.popleft()
            self._requests -= requests
            self._retries -= retries
        return self._buckets[-1]
