"""Groups the upstreams that may serve a request by data centre."""

from collections.abc import Mapping

from rattanlug.discovery import upstream_record, upstream_registry
from rattanlug.placement import placement_request

Groups = dict[str, tuple[upstream_record.UpstreamRecord, ...]]


class CandidateGroups:
    """Upstreams by data centre, kept until something about them changes.

    Parameters
    ----------
    registry : upstream_registry.UpstreamRegistry
    region_of : Mapping of str to str
        Region of each data centre.
    """

    def __init__(
        self,
        registry: upstream_registry.UpstreamRegistry,
        region_of: Mapping[str, str],
    ) -> None:
        self._registry = registry
        self._region_of = region_of
        self._evacuated: frozenset[str] = frozenset()
        self._cache: dict[tuple, Groups] = {}

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres whose upstreams get no new requests."""
        return self._evacuated

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Take the data centres whose upstreams get no new requests."""
        if data_centres != self._evacuated:
            self._evacuated = data_centres
            self.clear()

    def clear(self) -> None:
        """Drop all groups, since the upstreams changed."""
        self._cache.clear()

    def find(self, wanted: placement_request.PlacementRequest) -> Groups:
        """Return the upstreams that may serve a request."""
        identity = (wanted.service, wanted.versions, wanted.home_regions)
        groups = self._cache.get(identity)
        if groups is None:
            groups = self._build(wanted)
            self._cache[identity] = groups
        if not wanted.excluded:
            return groups
        kept = {
            name: tuple(each for each in group if each.id not in wanted.excluded)
            for name, group in groups.items()
        }
        return {name: group for name, group in kept.items() if group}

    def _build(self, wanted: placement_request.PlacementRequest) -> Groups:
        groups: dict[str, list[upstream_record.UpstreamRecord]] = {}
        for record in self._registry.of_service(wanted.service):
            if record.data_centre in self._evacuated:
                continue
            if wanted.versions is not None and record.version not in wanted.versions:
                continue
            region = self._region_of.get(record.data_centre, "")
            if wanted.home_regions is not None and region not in wanted.home_regions:
                continue
            groups.setdefault(record.data_centre, []).append(record)
        return {name: tuple(group) for name, group in groups.items()}
