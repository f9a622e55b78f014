"""An organisation."""

from typing import NamedTuple


class Organisation(NamedTuple):
    """An organisation with its keys and its rate.

    Attributes
    ----------
    name : str
    key_hashes : frozenset of bytes
        SHA-256 of each key.
    priority : int or None
        Rank that goes before the route's.
    rate : float
        Requests a second over all VMs, 0 for no limit.
    burst : float
        Requests on top of the rate.
    home_regions : frozenset of str
        Regions that may serve the organisation; empty for all.
    """

    name: str
    key_hashes: frozenset[bytes]
    priority: int | None
    rate: float
    burst: float
    home_regions: frozenset[str]
