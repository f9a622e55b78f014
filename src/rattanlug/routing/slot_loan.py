"""A slot that one VM lends to another for one request."""

from typing import NamedTuple


class SlotLoan(NamedTuple):
    """Loan of one slot: the capacity of an upstream for one request at a time.

    Attributes
    ----------
    loan_id : str
        Unique among all lenders: the lender's prefix and a number.
    service : str
    version : str
    upstream : str
    number : int
        Number of the slot at its upstream.
    lifetime : float
        Seconds until the lender may use the slot again. The lender counts from its
        response, the borrower from just before it sent the request.
    """

    loan_id: str
    service: str
    version: str
    upstream: str
    number: int
    lifetime: float
