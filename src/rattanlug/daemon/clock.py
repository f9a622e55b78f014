"""The clocks that the daemon passes to deciding functions."""

import time


def now() -> float:
    """Return seconds of a monotonic clock that includes suspended time.

    Leases use it: they have to lapse while the VM is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_now() -> float:
    """Return seconds since the epoch."""
    return time.time()
