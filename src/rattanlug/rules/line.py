"""A rule line that is split into words but whose values are not yet checked."""

from collections.abc import Mapping
from typing import NamedTuple

from rattanlug.rules import word


class RuleLine(NamedTuple):
    """The parts of one rule line.

    Attributes
    ----------
    number : int
        Line number in the text, counted from 1.
    kind : word.Word
    name : word.Word
    fields : Mapping
        Words of the values by field name, in the order of the line; their column is
        that of the value.
    comment : str
        Who asked for the rule and why, without the ``#``.
    """

    number: int
    kind: word.Word
    name: word.Word
    fields: Mapping[str, word.Word]
    comment: str
