"""Prediction of requests from the recent arrival rate."""

import math

HORIZON_S = 0.25


class Demand:
    """Exponentially decayed arrival count; the time constant is the horizon."""

    def __init__(self):
        self._decayed_count = 0.0
        self._updated_at = 0.0

    def add_arrival(self, now: float) -> None:
        """Count one request."""
        self._decayed_count = self.predicted(now) + 1
        self._updated_at = now

    def predicted(self, now: float) -> float:
        """Return the number of requests expected within the horizon."""
        elapsed = max(0.0, now - self._updated_at)
        return self._decayed_count * math.exp(-elapsed / HORIZON_S)
