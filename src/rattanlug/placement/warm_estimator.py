"""Estimates how likely an upstream has an object cached ("warm").

When more objects are requested than the upstreams of a data centre can cache, a hash
decides which of them are served there and which in another region. All VMs thereby
agree without exchanging messages, and don't evict each other's objects.
"""

import enum
import hashlib
from collections.abc import Mapping, Sequence

from rattanlug.placement import recent_objects

# Estimated number of objects that an upstream caches: initial value and limits.
INITIAL_CACHE_SIZE = 32.0
MIN_CACHE_SIZE = 16.0
MAX_CACHE_SIZE = 512.0
# Factors on the estimate after a hit and a miss; they balance at one miss in about
# eight requests.
HIT_GROWTH_FACTOR = 1.003
MISS_SHRINK_FACTOR = 0.98
# Weight of a new observation in the moving averages of the probabilities.
SMOOTHING = 0.02
# Distinct objects that are counted per service.
MAX_COUNTED_OBJECTS = 8192
_MAX_CACHED_FRACTIONS = 50_000


class Ground(enum.Enum):
    """Reason to expect that an upstream has an object cached.

    REMEMBERED: this VM recently sent a request for the object to the upstream.
    HOME_NEAR, HOME_FAR: the upstream is the object's home in this VM's region, or in
    another region.
    NONE: there is no reason to expect that it is cached.
    """

    REMEMBERED = "remembered"
    HOME_NEAR = "home_near"
    HOME_FAR = "home_far"
    NONE = "none"


_INITIAL_PROBABILITY = {
    Ground.REMEMBERED: 0.95,
    Ground.HOME_NEAR: 0.6,
    Ground.HOME_FAR: 0.5,
    Ground.NONE: 0.0,
}


class WarmEstimator:
    """Learns the cache size of upstreams and the hit probability of each `Ground`.

    Parameters
    ----------
    region : str
        Region of this VM.
    region_of : Mapping of str to str
        Region of each data centre.
    """

    def __init__(self, region: str, region_of: Mapping[str, str]) -> None:
        self._region = region
        self._region_of = region_of
        self._objects: dict[str, recent_objects.RecentObjects] = {}
        self._cache_sizes: dict[str, float] = {}
        self._probability = dict(_INITIAL_PROBABILITY)
        self._fractions: dict[tuple[str, str], float] = {}

    def record_request(self, service: str, object_id: str) -> None:
        """Count an object among those that are requested of a service."""
        requested = self._objects.get(service)
        if requested is None:
            requested = recent_objects.RecentObjects(MAX_COUNTED_OBJECTS)
            self._objects[service] = requested
        requested.touch(object_id)

    def cache_size(self, service: str) -> float:
        """Return how many objects one upstream of a service is estimated to cache."""
        return self._cache_sizes.get(service, INITIAL_CACHE_SIZE)

    def remote_data_centre(
        self, object_id: str, data_centres: Sequence[str]
    ) -> str | None:
        """Return the data centre of another region that serves an object, or None."""
        remote = [
            each for each in data_centres if self._region_of.get(each) != self._region
        ]
        if not remote:
            return None
        return min(remote, key=lambda each: self._hash_fraction(object_id, each))

    def ground(
        self,
        service: str,
        object_id: str,
        data_centre: str,
        upstreams: int,
        is_home: bool,
        remembered: bool,
        remote_data_centre: str | None,
    ) -> Ground:
        """Return the reason to expect that an upstream has an object cached.

        Parameters
        ----------
        service, object_id : str
        data_centre : str
            Data centre of the upstream.
        upstreams : int
            Number of upstreams of the service in that data centre.
        is_home : bool
            Whether the upstream is the object's home there.
        remembered : bool
            Whether this VM recently sent a request for the object to the upstream.
        remote_data_centre : str or None
            Data centre of another region that serves the object.
        """
        if remembered:
            return Ground.REMEMBERED
        if not is_home:
            return Ground.NONE
        if self._region_of.get(data_centre) != self._region:
            return Ground.HOME_FAR if data_centre == remote_data_centre else Ground.NONE
        requested = self._objects.get(service)
        objects = requested.size if requested is not None else 0
        capacity = upstreams * self.cache_size(service)
        if self._hash_fraction(object_id, data_centre) * objects < capacity:
            return Ground.HOME_NEAR
        return Ground.NONE

    def probability(self, ground: Ground) -> float:
        """Return the probability that an object is cached, given the reason."""
        return self._probability[ground]

    def record(self, service: str, ground: Ground, hit: bool) -> None:
        """Record whether an object was cached."""
        if ground is Ground.NONE:
            return
        current = self._probability[ground]
        self._probability[ground] = current + SMOOTHING * (float(hit) - current)
        if ground is Ground.REMEMBERED:
            factor = HIT_GROWTH_FACTOR if hit else MISS_SHRINK_FACTOR
            size = self.cache_size(service) * factor
            self._cache_sizes[service] = min(max(size, MIN_CACHE_SIZE), MAX_CACHE_SIZE)

    def _hash_fraction(self, object_id: str, data_centre: str) -> float:
        """Return a hash of an object and a data centre, uniform between 0 and 1."""
        cache_key = (object_id, data_centre)
        fraction = self._fractions.get(cache_key)
        if fraction is None:
            digest = hashlib.blake2b(
                f"{data_centre}\0{object_id}".encode(), digest_size=4
            ).digest()
            fraction = int.from_bytes(digest, "big") / 2.0**32
            if len(self._fractions) >= _MAX_CACHED_FRACTIONS:
                self._fractions.clear()
            self._fractions[cache_key] = fraction
        return fraction
