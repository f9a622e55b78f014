"""A request that waits for a slot."""

from typing import NamedTuple


class WaitingRequest(NamedTuple):
    """One waiting request.

    Attributes
    ----------
    number : int
        Unique within its queue; rises with arrival.
    organisation : str
    weight : float
        Rate of the organisation.
    expires_at : float
        Seconds; the request is refused with ``no_capacity`` then.
    """

    number: int
    organisation: str
    weight: float
    expires_at: float
