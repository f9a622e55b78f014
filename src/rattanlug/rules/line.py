"""One rule line, split into its parts but not yet checked by its kind."""

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
        Value words by field name, in the order of the line; the column of a
        value word is that of the value.
    comment : str
        Who asked and why, without the ``#``.
    """

    number: int
    kind: word.Word
    name: word.Word
    fields: Mapping[str, word.Word]
    comment: str
