"""Route of the desired state."""

from typing import NamedTuple

from rattanlug.desired import weighted_service


class Route(NamedTuple):
    """Requests to one host whose path begins with one prefix.

    Attributes
    ----------
    name : str
    host : str
    prefix : str
        Begins and ends with a slash.
    idempotent : bool
        Whether a request may be executed more than once.
    timeout : float
        Maximum time until a caller receives a response, seconds.
    target_latency : float
        Time within which a response has its full value, seconds.
    priority : int
        0 is the most urgent.
    weighted_services : tuple of weighted_service.WeightedService
        Services among which the requests are split.
    max_attempts : int
        Maximum number of upstreams to which a request is sent.
    public : bool
        Whether requests need no key.
    affinity : bool
        Whether an upstream is faster with an object that it served recently.
    home_regions : frozenset of str
        Regions that may serve the route's requests; empty for all.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: float
    target_latency: float
    priority: int
    weighted_services: tuple[weighted_service.WeightedService, ...]
    max_attempts: int
    public: bool
    affinity: bool
    home_regions: frozenset[str]
