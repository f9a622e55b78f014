"""How long upstreams work on the requests of one route."""

# Times at the start, relative to the target latency of the route.
COLD_TO_TARGET = 1.2
WARM_TO_TARGET = 0.4
# Weight of one new measurement.
SMOOTHING = 0.05
# A measurement beyond this multiple of the cold time says more about its upstream
# than about the route.
LARGEST_RATIO = 1.6


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
        if seconds > LARGEST_RATIO * self._cold:
            return
        if self.is_warm(seconds):
            self._warm += SMOOTHING * (seconds - self._warm)
        else:
            self._cold += SMOOTHING * (seconds - self._cold)
            if not self._affinity:
                self._warm = self._cold
