"""The end of a loan."""

from typing import NamedTuple


class Settlement(NamedTuple):
    """What the borrower reports of one loan, once at most.

    Attributes
    ----------
    seat : str
    term : int
    number : int
    unspent : float
        Tokens that the borrower gives back and will not use.
    """

    seat: str
    term: int
    number: int
    unspent: float
