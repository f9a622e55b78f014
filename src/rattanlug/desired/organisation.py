"""Organisation of the desired state."""

from typing import NamedTuple


class Organisation(NamedTuple):
    """An organisation with its keys and its rate limit.

    Attributes
    ----------
    name : str
    key_hashes : frozenset of bytes
        SHA-256 of each key.
    priority : int or None
        Overrides the route's priority; None for no override.
    rate : float
        Requests per second over all VMs; 0 for no limit.
    burst : float
        Requests in addition to the rate.
    home_regions : frozenset of str
        Regions that may serve the organisation's requests; empty for all.
    """

    name: str
    key_hashes: frozenset[bytes]
    priority: int | None
    rate: float
    burst: float
    home_regions: frozenset[str]
