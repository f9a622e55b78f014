"""A slot in use by a request."""

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
        Set if the slot is borrowed.
    expires : float
        Time by which the request must have ended, seconds; infinite for an own slot.
    """

    upstream: str
    token: int
    number: int
    loan: slot_loan.SlotLoan | None = None
    expires: float = float("inf")
