"""One rule: its line and the record that it stands for."""

from typing import Any, NamedTuple

from rattanlug.rules import line


class Rule(NamedTuple):
    """One rule of a known kind.

    Attributes
    ----------
    line : line.RuleLine
    record : NamedTuple or None
        Record of ``rattanlug.model``; None when a value of the line is wrong.
    """

    line: line.RuleLine
    record: Any
