"""Tokens that one VM lends to another."""

from typing import NamedTuple

# Counted by the borrower from just before it sent the request.
BORROWER_LIFETIME_S = 1.0
# Counted by the lender from its response. The difference covers clocks that drift apart
# by 0.1% if the message takes no time.
LENDER_LIFETIME_S = 1.01


class Loan(NamedTuple):
    """One loan.

    Attributes
    ----------
    seat : str
        Seat whose bucket the tokens come from.
    term : int
        Term of the lender's lease on the seat.
    number : int
        Unique within seat and term.
    tokens : float
    """

    seat: str
    term: int
    number: int
    tokens: float
