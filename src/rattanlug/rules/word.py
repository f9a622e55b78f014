"""A word of a rule line with its column."""

from typing import NamedTuple


class Word(NamedTuple):
    """Text between white space.

    Attributes
    ----------
    text : str
    column : int
        Counted from 1.
    """

    text: str
    column: int
