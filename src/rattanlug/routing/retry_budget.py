"""How many retries this VM may send."""

import collections

WINDOW_SECONDS = 10.0
BUCKET_SECONDS = 1.0
RETRY_SHARE = 0.1


class RetryBudget:
    """Allows retries up to 10% of the requests of the last 10 s.

    Counts are kept in buckets of 1 s. Retries are no requests and earn nothing.
    """

    def __init__(self):
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._requests = 0.0
        self._retries = 0.0

    def count_request(self, now: float) -> None:
        """Count a first attempt."""
        self._current(now)[1] += 1
        self._requests += 1

    def try_retry(self, now: float) -> bool:
        """Count a retry if the budget allows it.

        Returns
        -------
        bool
            False when the request must not be retried.
        """
        bucket = self._current(now)
        if self._retries + 1 > RETRY_SHARE * self._requests:
            return False
        bucket[2] += 1
        self._retries += 1
        return True

    def _current(self, now: float) -> list[float]:
        begin = now // BUCKET_SECONDS * BUCKET_SECONDS
        if not self._buckets or self._buckets[-1][0] < begin:
            self._buckets.append([begin, 0.0, 0.0])
        while self._buckets[0][0] <= now - WINDOW_SECONDS:
            _, requests, retries = self._buckets.popleft()
            self._requests -= requests
            self._retries -= retries
        return self._buckets[-1]
