"""One slot of an upstream."""

from typing import NamedTuple


class Slot(NamedTuple):
    """The right to run one request on an upstream.

    Attributes
    ----------
    upstream : str
    index : int
    """

    upstream: str
    index: int
