"""Tokens that one VM lends to another."""

from typing import NamedTuple

# The borrower may spend lent tokens for this time from just before it sent its request.
BORROWER_LIFETIME_S = 1.0
# The lender counts a loan as outstanding for this time from its response. It is longer
# than the borrower's time, so that the borrower's ends first even if the clocks drift
# apart by 0.1% and the response takes no time.
LENDER_LIFETIME_S = 1.01


class Loan(NamedTuple):
    """Rate-limit tokens lent to another VM from the token bucket of one seat.

    Attributes
    ----------
    seat : str
        Name of the seat, a share of the fleet-wide limits that the lender leases.
    term : int
        Term of the lender's lease on the seat.
    number : int
        Number of the loan, unique within seat and term.
    tokens : float
        Number of tokens lent.
    """

    seat: str
    term: int
    number: int
    tokens: float
