"""A caller's request that was admitted."""

from typing import NamedTuple

from rattanlug.caller import request
from rattanlug.desired import organisation, route
from rattanlug.platform import request_headers


class AdmittedRequest(NamedTuple):
    """A request with the results of its admission.

    Attributes
    ----------
    incoming : request.Request
    headers : request_headers.RequestHeaders
    route : route.Route
    owner : organisation.Organisation or None
        Organisation that owns the key; None on a route that needs no key.
    service : str
        Service to which the route's traffic split assigned the request.
    arrived_at : float
        Earliest possible arrival time, monotonic seconds.
    deadline : float
        Time by which the caller needs a response, monotonic seconds. It counts from
        the earliest possible arrival, so that a request that may be late is not sent.
    latest_end : float
        Time until which an upstream may work on the request, monotonic seconds. Before
        it, a request that was sent must not be broken off.
    time_up_at : float
        Time from which on the caller's time or the route's timeout is over for certain,
        monotonic seconds. Around a stop of the VM, an upstream may work until then.
    admitted_at : float
        Monotonic seconds.
    """

    incoming: request.Request
    headers: request_headers.RequestHeaders
    route: route.Route
    owner: organisation.Organisation | None
    service: str
    arrived_at: float
    deadline: float
    latest_end: float
    time_up_at: float
    admitted_at: float

    @property
    def object_id(self) -> str | None:
        """Id of the requested object, or None if the route or request has no affinity.

        It starts with the route, since routes may use the same ids.
        """
        if not self.route.affinity or self.headers.object_id is None:
            return None
        return f"{self.route.name} {self.headers.object_id}"

    @property
    def home_regions(self) -> frozenset[str] | None:
        """Regions that may serve the request; None for all."""
        candidates = [self.route.home_regions]
        if self.owner is not None:
            candidates.append(self.owner.home_regions)
        restrictions = [each for each in candidates if each]
        return frozenset.intersection(*restrictions) if restrictions else None
