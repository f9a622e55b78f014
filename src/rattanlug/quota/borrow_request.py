"""A message to one lender."""

from typing import NamedTuple

from rattanlug.quota import settlement


class BorrowRequest(NamedTuple):
    """A request for tokens and the settlements of earlier loans.

    Attributes
    ----------
    vm : str
        Lender.
    tokens : float
        Tokens to request, 0 if only settlements are due.
    settlements : tuple of settlement.Settlement
    """

    vm: str
    tokens: float
    settlements: tuple[settlement.Settlement, ...]
