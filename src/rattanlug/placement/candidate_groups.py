"""Groups the upstreams that may serve a request by data centre."""

from collections.abc import Mapping

from rattanlug.discovery import upstream_record, upstream_registry
from rattanlug.placement import placement_request

# Candidate upstreams by data centre.
Groups = dict[str, tuple[upstream_record.UpstreamRecord, ...]]


class CandidateGroups:
    """Caches the candidate upstreams by data centre until the registry changes.

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
        """Data centres whose upstreams receive no new requests."""
        return self._evacuated

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Set the data centres whose upstreams receive no new requests."""
        if data_centres != self._evacuated:
            self._evacuated = data_centres
            self.clear()

    def clear(self) -> None:
        """Clear the cache after a change of the registered upstreams."""
        self._cache.clear()

    def find(self, request: placement_request.PlacementRequest) -> Groups:
        """Return the upstreams that may serve a request, by data centre."""
        cache_key = (request.service, request.versions, request.home_regions)
        groups = self._cache.get(cache_key)
        if groups is None:
            groups = self._build(request)
            self._cache[cache_key] = groups
        if not request.excluded:
            return groups
        remaining = {
            name: tuple(each for each in group if each.id not in request.excluded)
            for name, group in groups.items()
        }
        return {name: group for name, group in remaining.items() if group}

    def _build(self, request: placement_request.PlacementRequest) -> Groups:
        groups: dict[str, list[upstream_record.UpstreamRecord]] = {}
        for record in self._registry.of_service(request.service):
            if record.data_centre in self._evacuated:
                continue
            if request.versions is not None and record.version not in request.versions:
                continue
            region = self._region_of.get(record.data_centre, "")
            if request.home_regions is not None and region not in request.home_regions:
                continue
            groups.setdefault(record.data_centre, []).append(record)
        return {name: tuple(group) for name, group in groups.items()}
