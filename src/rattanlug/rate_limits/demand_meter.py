"""Measures the rate of arriving requests."""

import math

# Time constant of the moving average; it follows a change within about 1 s.
SMOOTHING_SECONDS = 1.5


class DemandMeter:
    """Exponentially weighted rate of events.

    Parameters
    ----------
    now : float
        Time on the VM's monotonic clock, seconds.
    """

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._updated_at = now

    def add(self, now: float) -> None:
        """Count one event."""
        self._rate = self.rate(now) + 1.0 / SMOOTHING_SECONDS
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return events per second."""
        elapsed = max(0.0, now - self._updated_at)
        return self._rate * math.exp(-elapsed / SMOOTHING_SECONDS)
