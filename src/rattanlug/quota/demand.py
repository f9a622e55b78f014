"""Prediction of requests from recent arrivals."""

import math

HORIZON_S = 0.25


class Demand:
    """Exponentially weighted arrival rate with the horizon as time constant."""

    def __init__(self):
        self._weight = 0.0
        self._updated_at = 0.0

    def add_arrival(self, now: float) -> None:
        """Count one request."""
        self._weight = self.predicted(now) + 1
        self._updated_at = now

    def predicted(self, now: float) -> float:
        """Return the requests to expect within the horizon."""
        elapsed = max(0.0, now - self._updated_at)
        return self._weight * math.exp(-elapsed / HORIZON_S)
