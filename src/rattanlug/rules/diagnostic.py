"""A diagnostic of the rule parser."""

from typing import NamedTuple


class Diagnostic(NamedTuple):
    """A problem at a position of the rule text, and what is accepted there.

    Attributes
    ----------
    line : int
        Counted from 1.
    column : int
        Counted from 1.
    problem : str
    accepted : str
    """

    line: int
    column: int
    problem: str
    accepted: str

    def __str__(self) -> str:
        """Return the diagnostic as one line of text."""
        return (
            f"line {self.line}, column {self.column}: {self.problem}; "
            f"accepted: {self.accepted}"
        )
