"""A seat that this VM holds and may use."""

from typing import NamedTuple


class HeldSeat(NamedTuple):
    """One usable seat: a fixed share of the fleet-wide limits.

    Attributes
    ----------
    seat : str
        Name, ``<data centre>/<index>``.
    term : int
        Term of the lease; a new holder has a higher one.
    share : float
        Share of each fleet-wide limit, between 0 and 1.
    tokens_from : float
        Time from which token buckets of the seat refill, seconds on this VM's monotonic
        clock.
    slots_from : float
        Time from which slots of the seat may be used, on the same clock.
    """

    seat: str
    term: int
    share: float
    tokens_from: float
    slots_from: float
