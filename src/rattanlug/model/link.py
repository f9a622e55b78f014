"""A link between two regions."""

from typing import NamedTuple


class Link(NamedTuple):
    """Capacity between two regions, in each direction.

    Attributes
    ----------
    first_region : str
    second_region : str
    bits_per_second : float
    """

    first_region: str
    second_region: str
    bits_per_second: float
