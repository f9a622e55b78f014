"""One fault in rule text."""

from typing import NamedTuple


class Fault(NamedTuple):
    """What is wrong at one place of the text, and what is accepted there.

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
        """Return the fault as one line for an operator."""
        return (
            f"line {self.line}, column {self.column}: {self.problem}; "
            f"accepted: {self.accepted}"
        )
