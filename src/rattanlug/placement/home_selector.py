"""Selects the home upstream of each object, per data centre or per region.

The home is the upstream that preferably serves, and so caches, an object. An object
that is requested often gets a home in each data centre, since that saves traffic
between data centres. One that is requested rarely gets a single home in the region,
since each further home costs a response of an upstream that doesn't have it cached.
"""

from collections.abc import Callable, Mapping

from rattanlug.placement import (
    candidate_groups,
    object_request_rate,
    placement_request,
    rendezvous_hash,
    service_times,
    valuation,
)

# Time for which an object is expected to stay cached in a data centre; upstreams lose
# their caches in deployments, drains and crashes.
CACHED_LIFETIME_SECONDS = 40.0

# Maps a data centre to the id of the object's home, which may be None.
HomeOf = Callable[[str], str | None]


class HomeSelector:
    """Assigns homes by hashing, so that all VMs agree without exchanging messages.

    Parameters
    ----------
    region : str
        Region of this VM.
    region_of : Mapping of str to str
        Region of each data centre.
    count_senders : callable
        Takes the current time in seconds; returns the number of VMs in this VM's data
        centre.
    """

    def __init__(
        self,
        region: str,
        region_of: Mapping[str, str],
        count_senders: Callable[[float], int],
    ) -> None:
        self._region = region
        self._region_of = region_of
        self._count_senders = count_senders
        self._hash = rendezvous_hash.RendezvousHash()
        # Request rate per object, by route.
        self._object_rates: dict[str, object_request_rate.ObjectRequestRate] = {}

    def clear(self) -> None:
        """Clear the cache after a change of the registered upstreams."""
        self._hash.clear()

    def homes(
        self,
        request: placement_request.PlacementRequest,
        times: service_times.ServiceTimes,
        groups: candidate_groups.Groups,
        now: float,
    ) -> HomeOf:
        """Return a function that maps a data centre to the id of the object's home.

        Parameters
        ----------
        request : placement_request.PlacementRequest
        times : service_times.ServiceTimes
            Service times of the request's route.
        groups : dict of str to tuple of upstream_record.UpstreamRecord
            Upstreams by data centre.
        now : float
            Time on the VM's monotonic clock, seconds.
        """
        if request.object_id is None:
            return lambda data_centre: None
        group_key = f"{request.service} {request.versions} {request.excluded}"

        def home_in(data_centre: str) -> str | None:
            group = groups[data_centre]
            return self._hash.home(request.object_id, group_key, data_centre, group)

        if self._prefers_local_homes(request, times, now):
            return home_in
        shared_home = self._shared_home(request.object_id, group_key, groups)
        return lambda data_centre: (
            shared_home
            if self._region_of.get(data_centre) == self._region
            else home_in(data_centre)
        )

    def _prefers_local_homes(
        self,
        request: placement_request.PlacementRequest,
        times: service_times.ServiceTimes,
        now: float,
    ) -> bool:
        """Tell whether an object should have a home in each data centre."""
        object_rate = self._object_rates.setdefault(
            request.route, object_request_rate.ObjectRequestRate()
        )
        object_rate.record(request.object_id, now)
        if object_rate.rate is None:
            return True
        # Compares the transfers between data centres that a local home saves while the
        # object stays cached with the loss from one response without a cache hit.
        local_rate = object_rate.rate * max(1, self._count_senders(now))
        saved_per_request = valuation.transfer_cost(request.kilobytes, same_region=True)
        miss_loss = valuation.response_value(
            times.warm, request.time_to_target, request.time_left
        ) - valuation.response_value(
            times.cold, request.time_to_target, request.time_left
        )
        return local_rate * CACHED_LIFETIME_SECONDS * saved_per_request > miss_loss

    def _shared_home(
        self, object_id: str, group_key: str, groups: candidate_groups.Groups
    ) -> str | None:
        """Return the id of the object's only home in this VM's region."""
        cached = self._hash.cached(object_id, group_key, self._region)
        if cached is not None:
            return cached
        candidates = [
            each
            for data_centre, group in groups.items()
            if self._region_of.get(data_centre) == self._region
            for each in group
        ]
        if not candidates:
            return None
        return self._hash.home(object_id, group_key, self._region, candidates)
