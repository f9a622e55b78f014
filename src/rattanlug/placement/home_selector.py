"""Decides which upstream is home of an object, and in how many places it has one.

Answers many objects that are asked for rarely: bringing one to a further data centre
costs an answer of a cold upstream, and spares the bytes between data centres of the
requests to come.
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

# Time for which an object that was brought to a data centre is expected to stay there;
# releases, drains and crashes take upstreams away again.
STAY_SECONDS = 40.0

HomeOf = Callable[[str], str | None]


class HomeSelector:
    """Assigns homes that all VMs agree on without messages.

    Parameters
    ----------
    region : str
        Region of this VM.
    region_of : Mapping of str to str
        Region of each data centre.
    count_senders : callable
        From the present time to the number of VMs in the own data centre.
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
        self._homes = rendezvous_hash.RendezvousHash()
        # How often objects are asked for, by route.
        self._asked: dict[str, object_request_rate.ObjectRequestRate] = {}

    def clear(self) -> None:
        """Drop cached homes, since the upstreams changed."""
        self._homes.clear()

    def homes(
        self,
        wanted: placement_request.PlacementRequest,
        times: service_times.ServiceTimes,
        groups: candidate_groups.Groups,
        now: float,
    ) -> HomeOf:
        """Return a function from a data centre to the id of the home there.

        Parameters
        ----------
        wanted : placement_request.PlacementRequest
        times : service_times.ServiceTimes
            Of the request's route.
        groups : dict of str to tuple of upstream_record.UpstreamRecord
            Upstreams by data centre.
        now : float
            Seconds.
        """
        if wanted.object_id is None:
            return lambda data_centre: None
        name = f"{wanted.service} {wanted.versions} {wanted.excluded}"

        def home_in(data_centre: str) -> str | None:
            group = groups[data_centre]
            return self._homes.home(wanted.object_id, name, data_centre, group)

        if self._pays_locally(wanted, times, now):
            return home_in
        shared = self._shared_home(wanted.object_id, name, groups)
        return lambda data_centre: (
            shared
            if self._region_of.get(data_centre) == self._region
            else home_in(data_centre)
        )

    def _pays_locally(
        self,
        wanted: placement_request.PlacementRequest,
        times: service_times.ServiceTimes,
        now: float,
    ) -> bool:
        """Tell whether an object should be warm in each data centre of the region."""
        asked = self._asked.setdefault(
            wanted.route, object_request_rate.ObjectRequestRate()
        )
        asked.note(wanted.object_id, now)
        if asked.rate is None:
            return True
        here = asked.rate * max(1, self._count_senders(now))
        spared = valuation.crossing_cost(wanted.kilobytes, same_region=True)
        lost = valuation.answer_worth(
            times.warm, wanted.time_to_target, wanted.time_left
        ) - valuation.answer_worth(times.cold, wanted.time_to_target, wanted.time_left)
        return here * STAY_SECONDS * spared > lost

    def _shared_home(
        self, object_id: str, name: str, groups: candidate_groups.Groups
    ) -> str | None:
        """Return the one upstream of the region that is home of an object."""
        known = self._homes.known(object_id, name, self._region)
        if known is not None:
            return known
        union = [
            each
            for data_centre, group in groups.items()
            if self._region_of.get(data_centre) == self._region
            for each in group
        ]
        if not union:
            return None
        return self._homes.home(object_id, name, self._region, union)
