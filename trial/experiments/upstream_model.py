"""An upstream whose speed depends on load, stalls and cold caches."""

import math
import random

LOAD_SLOWDOWN = 0.4
COLD_FACTOR = 3.0
WARM_AFTER_REQUESTS = 60.0
STALL_EVERY_SECONDS = 40.0
STALL_FACTOR = 5.0


class UpstreamModel:
    """One upstream.

    Parameters
    ----------
    name : str
    slots : int
    data_centre : int
    service_time : float
        Median, seconds.
    rng : random.Random
    duration : float
        Period in which stalls occur, seconds.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        data_centre: int,
        service_time: float,
        rng: random.Random,
        duration: float,
    ):
        self.name = name
        self.slots = slots
        self.data_centre = data_centre
        self.in_flight = 0
        self.responses = 10_000
        self.failing = False
        self.error_share = 0.0
        self.draining_since: float | None = None
        self.last_start = 0.0
        self.empty_since: float | None = None
        self._service_time = service_time * rng.uniform(0.8, 1.3)
        self._stalls = []
        start = rng.expovariate(1 / STALL_EVERY_SECONDS)
        while start < duration:
            length = rng.uniform(0.5, 2.0)
            self._stalls.append((start, start + length))
            start += length + rng.expovariate(1 / STALL_EVERY_SECONDS)

    def expected_time(self, now: float) -> float:
        """Return the median service time of a request that starts now, seconds."""
        stalled = any(start <= now < end for start, end in self._stalls)
        cold = (COLD_FACTOR - 1) * math.exp(-self.responses / WARM_AFTER_REQUESTS)
        return (
            self._service_time
            * (1 + LOAD_SLOWDOWN * self.in_flight / self.slots)
            * (STALL_FACTOR if stalled else 1.0)
            * (1 + cold)
        )
