"""A slot that one VM lends to another for one request."""

from typing import NamedTuple


class SlotLoan(NamedTuple):
    """One lent slot.

    Attributes
    ----------
    loan_id : str
        Unique over all lenders: the lender's prefix and a number.
    service : str
    version : str
    upstream : str
    number : int
        Number of the slot at its upstream.
    lifetime : float
        Seconds until the lender uses the slot again. The lender counts from its
        answer, the borrower from just before it asked.
    """

    loan_id: str
    service: str
    version: str
    upstream: str
    number: int
    lifetime: float
