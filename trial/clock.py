"""The clock that all processes of a trial share."""

import time


def now() -> float:
    """Return seconds on a monotonic clock that is the same in every process."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
