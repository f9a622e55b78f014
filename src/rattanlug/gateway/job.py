"""A request of a caller that was admitted."""

from typing import NamedTuple

from rattanlug.caller import request
from rattanlug.desired import organisation, route
from rattanlug.platform import request_headers


class Job(NamedTuple):
    """A request with everything that was decided on its way in.

    Attributes
    ----------
    incoming : request.Request
    facts : request_headers.RequestHeaders
    route : route.Route
    owner : organisation.Organisation or None
        None on a route that needs no key.
    service : str
    arrived_at : float
        Earliest time at which the request can have arrived, seconds.
    deadline : float
        When the caller has to have an answer, seconds.
    admitted_at : float
        Seconds.
    """

    incoming: request.Request
    facts: request_headers.RequestHeaders
    route: route.Route
    owner: organisation.Organisation | None
    service: str
    arrived_at: float
    deadline: float
    admitted_at: float

    @property
    def object_id(self) -> str | None:
        """Name of the request's object; routes may use the same names."""
        if not self.route.affinity or self.facts.object_id is None:
            return None
        return f"{self.route.name} {self.facts.object_id}"

    @property
    def home_regions(self) -> frozenset[str] | None:
        """Regions that may serve the request; None for all."""
        homes = [self.route.home_regions]
        if self.owner is not None:
            homes.append(self.owner.home_regions)
        bound = [each for each in homes if each]
        return frozenset.intersection(*bound) if bound else None
