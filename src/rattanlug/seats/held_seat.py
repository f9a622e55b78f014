"""A seat that the VM may use at this moment."""

from typing import NamedTuple


class HeldSeat(NamedTuple):
    """One usable seat.

    Attributes
    ----------
    seat : str
    term : int
        Term of the lease; a new holder has a higher one.
    share : float
        Share of each global quantity, between 0 and 1.
    tokens_from : float
        Moment from which buckets of the seat refill.
    slots_from : float
        Moment from which slots of the seat may be used.
    """

    seat: str
    term: int
    share: float
    tokens_from: float
    slots_from: float
