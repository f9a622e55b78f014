"""A rule: its line and its record."""

from typing import Any, NamedTuple

from rattanlug.rules import line


class Rule(NamedTuple):
    """One rule of a known kind.

    Attributes
    ----------
    line : line.RuleLine
    record : NamedTuple or None
        Record of ``rattanlug.model``; None if a value of the line is invalid.
    """

    line: line.RuleLine
    record: Any
