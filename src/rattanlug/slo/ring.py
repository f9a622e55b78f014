"""Ring buffer of counts over time."""

import array

from rattanlug.slo import counts

_COLUMNS = len(counts.Counts._fields)


class CountRing:
    """Ring buffer of counts in time buckets of equal length.

    Takes 12 bytes per bucket. A bucket can count at most 2^32 - 1 requests.

    Parameters
    ----------
    bucket_s : int
        Length of one bucket, seconds.
    span_s : int
        Longest window that can be summed, seconds.
    now : float
        Seconds of a monotonic clock.
    """

    def __init__(self, bucket_s: int, span_s: int, now: float):
        self._bucket_s = bucket_s
        # Includes the current, incomplete bucket.
        self._size = span_s // bucket_s + 1
        self._values = array.array("I", bytes(4 * _COLUMNS * self._size))
        self._newest = int(now // bucket_s)

    def add(self, failed: bool, slow: bool, now: float) -> None:
        """Count one request."""
        self._advance(now)
        start = self._newest % self._size * _COLUMNS
        self._values[start] += 1
        self._values[start + 1] += failed
        self._values[start + 2] += slow

    def sum(self, window_s: int, now: float) -> counts.Counts:
        """Return the counts of the last ``window_s`` seconds.

        The sum covers the window and up to one bucket more, never less.
        """
        self._advance(now)
        result = counts.Counts()
        for age in range(min(window_s // self._bucket_s + 1, self._size)):
            result = result.plus(self._bucket(age))
        return result

    def history(self, now: float) -> list[counts.Counts]:
        """Return the counts of each bucket, newest first."""
        self._advance(now)
        return [self._bucket(age) for age in range(self._size)]

    def _bucket(self, age):
        start = (self._newest - age) % self._size * _COLUMNS
        return counts.Counts(*self._values[start : start + _COLUMNS])

    def _advance(self, now):
        newest = int(now // self._bucket_s)
        if newest <= self._newest:
            return
        empty = array.array("I", bytes(4 * _COLUMNS))
        for index in range(max(self._newest + 1, newest - self._size + 1), newest + 1):
            start = index % self._size * _COLUMNS
            self._values[start : start + _COLUMNS] = empty
        self._newest = newest
