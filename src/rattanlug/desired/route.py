"""A route."""

from typing import NamedTuple

from rattanlug.desired import weighted_service


class Route(NamedTuple):
    """Requests of one host whose path begins with one prefix.

    Attributes
    ----------
    name : str
    host : str
    prefix : str
        Begins and ends with a slash.
    idempotent : bool
        Whether a request may run more than once.
    timeout : float
        Longest time that a caller is kept waiting, seconds.
    target_latency : float
        Time within which an answer is worth most, seconds.
    priority : int
        Rank, 0 is the most urgent.
    weighted_services : tuple of weighted_service.WeightedService
    max_attempts : int
        Upstreams to which one request may be sent.
    public : bool
        Whether no key is needed.
    affinity : bool
        Whether an upstream is faster with an object that it handled recently.
    home_regions : frozenset of str
        Regions that may serve the route; empty for all.
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
