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
    arrived_at : float
        Earliest possible arrival time, seconds.
    deadline : float
        Time by which the caller needs a response, seconds.
    admitted_at : float
        Seconds.
    """

    incoming: request.Request
    headers: request_headers.RequestHeaders
    route: route.Route
    owner: organisation.Organisation | None
    service: str
    arrived_at: float
    deadline: float
    admitted_at: float

    @property
    def object_id(self) -> str | None:
        """Object of the request, qualified by the route since names may repeat."""
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
