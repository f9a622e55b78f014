"""The clocks that the daemon passes to deciding functions."""

import time


def now() -> float:
    """Return seconds of a monotonic clock that counts suspended time.

    Leases are counted with it, since a VM that was suspended must find them lapsed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_now() -> float:
    """Return seconds since the epoch."""
    return time.time()
