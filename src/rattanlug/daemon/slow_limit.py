"""Latency above which a response counts as slow."""

_TARGET_SHARE = 0.05
_DOWN_RATIO = 0.002
_UP_RATIO = _DOWN_RATIO * (1 - _TARGET_SHARE) / _TARGET_SHARE


class SlowLimit:
    """Running estimate of the 95th percentile of the old version on one route.

    Each response moves the estimate up or down by a fixed ratio; the ratios are chosen
    so that 5% of responses lie above it in equilibrium.

    Parameters
    ----------
    initial : float
        Initial estimate, seconds.
    """

    def __init__(self, initial: float) -> None:
        self._seconds = initial

    @property
    def seconds(self) -> float:
        """The estimate, seconds."""
        return self._seconds

    def observe(self, latency: float) -> None:
        """Update the estimate with the latency of one response, seconds."""
        self._seconds *= 1 + _UP_RATIO if latency > self._seconds else 1 - _DOWN_RATIO
