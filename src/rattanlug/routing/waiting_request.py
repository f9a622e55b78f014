"""A request that waits for a slot."""

from typing import NamedTuple


class WaitingRequest(NamedTuple):
    """One request in a ``fair_queue.FairQueue``.

    Attributes
    ----------
    number : int
        Unique within its queue, in the order of arrival.
    organisation : str
    weight : float
        Rate of the organisation, requests per second.
    expires_at : float
        Time at which the request is rejected with ``no_capacity``, seconds.
    """

    number: int
    organisation: str
    weight: float
    expires_at: float
