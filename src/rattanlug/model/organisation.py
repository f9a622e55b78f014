"""An organisation: the tenant whose key a request carries."""

from typing import NamedTuple


class Organisation(NamedTuple):
    """Rate limit of one organisation for the whole fleet.

    Attributes
    ----------
    name : str
    rate : float
        Requests per second.
    burst : float
        Requests.
    """

    name: str
    rate: float
    burst: float
