"""Input to the selection of an upstream."""

from typing import NamedTuple


class PlacementRequest(NamedTuple):
    """Properties of a request that decide which upstream serves it.

    Attributes
    ----------
    service : str
    route : str
    object_id : str or None
        Object that the request refers to. An upstream that has it cached ("warm")
        answers faster.
    idempotent : bool
        Whether the request may be executed more than once.
    time_to_target : float
        Remaining time to the target latency, seconds; may be negative.
    time_left : float
        Remaining time to the request's deadline, seconds.
    kilobytes : float
        Size of request and response together.
    home_regions : frozenset of str or None
        Regions that may serve the request; None for all.
    versions : frozenset of str or None
        Versions of the service that may serve the request; None for all.
    excluded : frozenset of str
        Ids of the upstreams that have already failed the request.
    """

    service: str
    route: str
    object_id: str | None
    idempotent: bool
    time_to_target: float
    time_left: float
    kilobytes: float
    home_regions: frozenset[str] | None
    versions: frozenset[str] | None
    excluded: frozenset[str]
