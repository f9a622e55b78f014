"""Service times of the requests of one route."""

# Initial estimates relative to the route's target latency. They are below it, since
# requests of a new route must be sent before any can be rejected as too slow.
INITIAL_COLD_TO_TARGET = 0.7
INITIAL_WARM_TO_TARGET = 0.3
# Minimum weight of a new measurement in the moving average; the first ones weigh more.
SMOOTHING = 0.05
# A measurement beyond this multiple of the cold time is ignored: it is due to a slow
# upstream rather than to the route.
MAX_TO_COLD_RATIO = 1.6
# Measurements before outliers are ignored.
OUTLIER_MIN_COUNT = 10


class ServiceTimes:
    """Estimates two service times: with the object of a request cached, and without.

    Parameters
    ----------
    target_latency : float
        Seconds.
    affinity : bool
        Whether upstreams are faster with cached objects.
    """

    def __init__(self, target_latency: float, affinity: bool) -> None:
        self._affinity = affinity
        self._cold_count = self._warm_count = 0
        self._cold = INITIAL_COLD_TO_TARGET * target_latency
        self._warm = (
            INITIAL_WARM_TO_TARGET if affinity else INITIAL_COLD_TO_TARGET
        ) * target_latency

    @property
    def cold(self) -> float:
        """Service time without the object in the cache, seconds."""
        return self._cold

    @property
    def warm(self) -> float:
        """Service time with the object in the cache, seconds."""
        return self._warm

    def is_warm(self, seconds: float) -> bool:
        """Tell whether a measured time is nearer to the warm than to the cold time."""
        return self._affinity and seconds * seconds < self._warm * self._cold

    def learn(self, seconds: float) -> None:
        """Record the service time of a request that didn't wait for a slot."""
        if (
            self._cold_count > OUTLIER_MIN_COUNT
            and seconds > MAX_TO_COLD_RATIO * self._cold
        ):
            return
        if self.is_warm(seconds):
            self._warm_count += 1
            self._warm += _weight(self._warm_count) * (seconds - self._warm)
            return
        self._cold_count += 1
        self._cold += _weight(self._cold_count) * (seconds - self._cold)
        if not self._affinity:
            self._warm = self._cold


def _weight(count: int) -> float:
    return max(SMOOTHING, 1.0 / (count + 1))
