"""A slot that a request occupies."""

from typing import NamedTuple

from rattanlug.routing import slot_loan


class SlotHold(NamedTuple):
    """One slot in use by one request of this VM.

    Attributes
    ----------
    upstream : str
    token : int
        Identifies this use of the slot within the ledger.
    number : int
        Number of the slot at its upstream.
    loan : slot_loan.SlotLoan or None
        Set when the slot was borrowed.
    expires : float
        The request has to be over by then, seconds; infinite for an own slot.
    """

    upstream: str
    token: int
    number: int
    loan: slot_loan.SlotLoan | None = None
    expires: float = float("inf")
