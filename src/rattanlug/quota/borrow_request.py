"""What to send to one lender."""

from typing import NamedTuple

from rattanlug.quota import settlement


class BorrowRequest(NamedTuple):
    """One message to a peer.

    Attributes
    ----------
    vm : str
    tokens : float
        Tokens to ask for, 0 when only settlements are due.
    settlements : tuple of settlement.Settlement
    """

    vm: str
    tokens: float
    settlements: tuple[settlement.Settlement, ...]
