"""One slot of an upstream."""

from typing import NamedTuple


class Slot(NamedTuple):
    """Capacity for one request at a time on an upstream.

    Attributes
    ----------
    upstream : str
    index : int
    """

    upstream: str
    index: int
