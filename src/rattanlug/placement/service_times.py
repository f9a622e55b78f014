"""How long upstreams work on the requests of one route."""

# Times at the start, relative to the target latency of the route. A new route has to
# be tried before it is refused for its slowness.
COLD_TO_TARGET = 0.7
WARM_TO_TARGET = 0.3
# Least weight of one new measurement; the first ones weigh more.
SMOOTHING = 0.05
# A measurement beyond this multiple of the cold time says more about its upstream
# than about the route.
LARGEST_RATIO = 1.6
# Measurements before that is said.
FIRST_COUNT = 10


class ServiceTimes:
    """Learns two service times: with the object of a request warm, and without.

    Parameters
    ----------
    target_latency : float
        Seconds.
    affinity : bool
        Whether upstreams are faster with warm objects.
    """

    def __init__(self, target_latency: float, affinity: bool) -> None:
        self._affinity = affinity
        self._cold_count = self._warm_count = 0
        self._cold = COLD_TO_TARGET * target_latency
        self._warm = (WARM_TO_TARGET if affinity else COLD_TO_TARGET) * target_latency

    @property
    def cold(self) -> float:
        """Time without the object, seconds."""
        return self._cold

    @property
    def warm(self) -> float:
        """Time with the object, seconds."""
        return self._warm

    def is_warm(self, seconds: float) -> bool:
        """Tell whether a measured time is nearer to the warm than the cold time."""
        return self._affinity and seconds * seconds < self._warm * self._cold

    def learn(self, seconds: float) -> None:
        """Take the time of one request that found a free slot."""
        if self._cold_count > FIRST_COUNT and seconds > LARGEST_RATIO * self._cold:
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
