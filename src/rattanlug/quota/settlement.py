"""Settlement of a loan."""

from typing import NamedTuple


class Settlement(NamedTuple):
    """Report of the borrower that ends one loan; sent at most once.

    Attributes
    ----------
    seat : str
    term : int
    number : int
        Number of the loan, unique within seat and term.
    unspent : float
        Tokens that the borrower returns without having spent them.
    """

    seat: str
    term: int
    number: int
    unspent: float
