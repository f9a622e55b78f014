"""A word of a rule line with its place."""

from typing import NamedTuple


class Word(NamedTuple):
    """Text between spaces.

    Attributes
    ----------
    text : str
    column : int
        Counted from 1.
    """

    text: str
    column: int
