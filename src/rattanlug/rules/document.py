"""Rule text as a list of lines for editing single rules."""

import re
from collections.abc import Mapping
from typing import NamedTuple

from rattanlug.errors import error, kind
from rattanlug.rules import line, parser, scanner

# A space in a value would begin another field, and a '#' would begin the comment.
_WORD = re.compile(r"[^\s#]+")


class Document(NamedTuple):
    """Lines of a rule text.

    Unchanged lines keep their spacing, so that the change of one rule is a difference
    of one line.

    Attributes
    ----------
    lines : tuple of str
    """

    lines: tuple[str, ...]

    @classmethod
    def from_text(cls, text: str) -> "Document":
        """Return the document of a rule text."""
        return cls(tuple(parser.split_lines(text)))

    def render(self) -> str:
        """Return the text, with a line feed after every line."""
        return "".join(f"{each}\n" for each in self.lines)

    def find(self, rule_kind: str, name: str) -> line.RuleLine | None:
        """Return the line of a rule, None if there is none."""
        for number, text in enumerate(self.lines, 1):
            scanned, _ = scanner.scan_line(text, number)
            if scanned and (scanned.kind.text, scanned.name.text) == (rule_kind, name):
                return scanned
        return None

    def add(self, text: str) -> "Document":
        """Return the document with an additional line.

        The line is inserted after the last line of its kind, or at the end.
        """
        rule_kind = text.split(maxsplit=1)[0]
        index = len(self.lines)
        for number, each in enumerate(self.lines, 1):
            if each.split(maxsplit=1)[:1] == [rule_kind]:
                index = number
        return Document((*self.lines[:index], text, *self.lines[index:]))

    def replace(self, rule_kind: str, name: str, text: str) -> "Document":
        """Return the document with the line of a rule replaced.

        Raises
        ------
        error.InvalidInputError
            When there is no such rule.
        """
        index = self.require(rule_kind, name).number - 1
        return Document((*self.lines[:index], text, *self.lines[index + 1 :]))

    def remove(self, rule_kind: str, name: str) -> "Document":
        """Return the document without the line of a rule.

        Raises
        ------
        error.InvalidInputError
            When there is no such rule.
        """
        index = self.require(rule_kind, name).number - 1
        return Document((*self.lines[:index], *self.lines[index + 1 :]))

    def require(self, rule_kind: str, name: str) -> line.RuleLine:
        """Return the line of a rule.

        Raises
        ------
        error.InvalidInputError
            When there is no such rule.
        """
        found = self.find(rule_kind, name)
        if found is None:
            raise error.InvalidInputError(
                kind.ErrorKind.RULE_INVALID, f"there is no rule '{rule_kind} {name}'"
            )
        return found


def render_line(
    rule_kind: str, name: str, fields: Mapping[str, str], comment: str
) -> str:
    """Return one rule line with single spaces.

    Parameters
    ----------
    rule_kind, name : str
    fields : Mapping
        Text of the values by field name.
    comment : str
        Who asked for the rule and why.

    Raises
    ------
    error.InvalidInputError
        When the comment holds a control character, or a name or value holds
        a space or ``#``.
    """
    if scanner.CONTROL_CHARACTERS.search(comment):
        raise error.InvalidInputError(
            kind.ErrorKind.RULE_INVALID,
            f"comment: got {comment!r}; accepted: one line of printable text",
        )
    for each in (name, *fields.values()):
        if not _WORD.fullmatch(each):
            raise error.InvalidInputError(
                kind.ErrorKind.RULE_INVALID,
                f"{rule_kind}: got {each!r}; accepted: text without spaces or '#'",
            )
    words = [rule_kind, name, *(f"{key}={value}" for key, value in fields.items())]
    return f"{' '.join(words)}  # {comment}"
