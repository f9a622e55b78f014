"""What a request needs of an upstream."""

from typing import NamedTuple


class PlacementRequest(NamedTuple):
    """A request as seen by the choice of its upstream.

    Attributes
    ----------
    service : str
    route : str
    object_id : str or None
        Object that upstreams may have warm.
    idempotent : bool
    time_to_target : float
        Time until an answer is late, seconds; may be negative.
    time_left : float
        Time until an answer is useless, seconds.
    kilobytes : float
        Size of request and answer together.
    home_regions : frozenset of str or None
        Regions that may serve the request; None for all.
    versions : frozenset of str or None
        Versions of the software that may serve it; None for all.
    excluded : frozenset of str
        Upstreams that failed the request.
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
