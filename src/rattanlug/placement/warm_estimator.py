"""How likely an upstream has an object warm.

Answers many requests for more objects than the upstreams of a data centre can keep:
which objects stay in a data centre and which leave it is decided by a hash, so that
all VMs agree without messages and do not evict each other's objects.
"""

import enum
import hashlib
from collections.abc import Mapping, Sequence

from rattanlug.placement import recent_objects

# Objects that an upstream is taken to keep at first, and the limits of what is learnt.
FIRST_KEPT = 32.0
LEAST_KEPT = 16.0
MOST_KEPT = 512.0
# Factors on the kept objects after a hit and a miss; they balance at one miss in
# about eight requests.
HIT_FACTOR = 1.003
MISS_FACTOR = 0.98
# Weight of one observation in the probabilities.
SMOOTHING = 0.02
# Distinct objects that are counted for each service.
COUNTED_OBJECTS = 8192
_MAX_CACHED = 50_000


class Ground(enum.Enum):
    """Why an object may be warm."""

    REMEMBERED = "remembered"
    HOME_NEAR = "home_near"
    HOME_FAR = "home_far"
    NONE = "none"


_FIRST_PROBABILITY = {
    Ground.REMEMBERED: 0.95,
    Ground.HOME_NEAR: 0.6,
    Ground.HOME_FAR: 0.5,
    Ground.NONE: 0.0,
}


class WarmEstimator:
    """Learns how many objects upstreams keep, and how sure each ground is.

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
        self._kept: dict[str, float] = {}
        self._probability = dict(_FIRST_PROBABILITY)
        self._fractions: dict[tuple[str, str], float] = {}

    def note_request(self, service: str, object_id: str) -> None:
        """Count an object among those that a service is asked for."""
        seen = self._objects.get(service)
        if seen is None:
            seen = recent_objects.RecentObjects(COUNTED_OBJECTS)
            self._objects[service] = seen
        seen.touch(object_id)

    def kept(self, service: str) -> float:
        """Return how many objects one upstream of a service is taken to keep."""
        return self._kept.get(service, FIRST_KEPT)

    def far_data_centre(
        self, object_id: str, data_centres: Sequence[str]
    ) -> str | None:
        """Return the data centre of another region that keeps an object, if any."""
        far = [
            each for each in data_centres if self._region_of.get(each) != self._region
        ]
        if not far:
            return None
        return min(far, key=lambda each: self._fraction(object_id, each))

    def ground(
        self,
        service: str,
        object_id: str,
        data_centre: str,
        upstreams: int,
        is_home: bool,
        remembered: bool,
        far_data_centre: str | None,
    ) -> Ground:
        """Return why an upstream may have an object warm.

        Parameters
        ----------
        service, object_id : str
        data_centre : str
            Of the upstream.
        upstreams : int
            Upstreams of the service in that data centre.
        is_home : bool
            Whether the upstream is the object's home there.
        remembered : bool
            Whether this VM sent the object there recently.
        far_data_centre : str or None
            Data centre of another region that keeps the object.
        """
        if remembered:
            return Ground.REMEMBERED
        if not is_home:
            return Ground.NONE
        if self._region_of.get(data_centre) != self._region:
            return Ground.HOME_FAR if data_centre == far_data_centre else Ground.NONE
        seen = self._objects.get(service)
        objects = seen.size if seen is not None else 0
        room = upstreams * self.kept(service)
        if self._fraction(object_id, data_centre) * objects < room:
            return Ground.HOME_NEAR
        return Ground.NONE

    def probability(self, ground: Ground) -> float:
        """Return how likely an object is warm on a ground."""
        return self._probability[ground]

    def learn(self, service: str, ground: Ground, hit: bool) -> None:
        """Take whether an object was warm."""
        if ground is Ground.NONE:
            return
        present = self._probability[ground]
        self._probability[ground] = present + SMOOTHING * (float(hit) - present)
        if ground is Ground.REMEMBERED:
            factor = HIT_FACTOR if hit else MISS_FACTOR
            kept = self.kept(service) * factor
            self._kept[service] = min(max(kept, LEAST_KEPT), MOST_KEPT)

    def _fraction(self, object_id: str, data_centre: str) -> float:
        identity = (object_id, data_centre)
        found = self._fractions.get(identity)
        if found is None:
            digest = hashlib.blake2b(
                f"{data_centre}\0{object_id}".encode(), digest_size=4
            ).digest()
            found = int.from_bytes(digest, "big") / 2.0**32
            if len(self._fractions) >= _MAX_CACHED:
                self._fractions.clear()
            self._fractions[identity] = found
        return found
