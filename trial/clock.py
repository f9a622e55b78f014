"""The clock that is shared by all processes of a trial."""

import time


def now() -> float:
    """Return seconds on a monotonic clock that is the same in every process."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
