"""One slot of an upstream."""

from typing import NamedTuple


class Slot(NamedTuple):
    """Capacity for one request at a time on an upstream.

    Attributes
    ----------
    upstream : str
    index : int
        Number of the slot at its upstream, from 0.
    """

    upstream: str
    index: int
