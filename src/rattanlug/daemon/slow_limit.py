"""The latency above which an answer counts as slow."""

_TARGET_SHARE = 0.05
_DOWN = 0.002
_UP = _DOWN * (1 - _TARGET_SHARE) / _TARGET_SHARE


class SlowLimit:
    """Running estimate of the 95th percentile of the old version on one route.

    Each answer moves the estimate by a fixed ratio, up or down so that 5% of answers
    lie above it in equilibrium.

    Parameters
    ----------
    first : float
        First estimate, seconds.
    """

    def __init__(self, first: float) -> None:
        self._seconds = first

    @property
    def seconds(self) -> float:
        """The estimate, seconds."""
        return self._seconds

    def observe(self, latency: float) -> None:
        """Take the latency of one answer of the old version, seconds."""
        self._seconds *= 1 + _UP if latency > self._seconds else 1 - _DOWN
