"""The lines that one version removes and adds."""

import difflib
import hashlib
from typing import NamedTuple


def text_digest(text: str) -> str:
    """Return the SHA-256 digest of a rule text, 64 hexadecimal digits."""
    return hashlib.sha256(text.encode()).hexdigest()


class DeltaError(ValueError):
    """A delta is malformed, or does not lead from the text to its digest."""


class Delta(NamedTuple):
    """A step from one version to the next.

    Attributes
    ----------
    base_version : int
    base_digest : str
        SHA-256 of the text before, 64 hexadecimal digits.
    digest : str
        SHA-256 of the text after.
    text : str
        For each place: ``@<line number, from 0>``, then removed lines with the prefix
        ``-`` and added lines with the prefix ``+``. Line numbers refer to the text
        before and rise.
    """

    base_version: int
    base_digest: str
    digest: str
    text: str


def make_delta(old: str, new: str, base_version: int) -> Delta:
    """Return the delta from ``old`` to ``new``.

    Parameters
    ----------
    old, new : str
        Rule texts; each line, the last one too, ends in a line feed.
    base_version : int
        Version of ``old``.

    Returns
    -------
    Delta
    """
    before, after = _split(old), _split(new)
    # The two ends are cut off first: difflib takes quadratic time on long equal parts.
    head = _common(before, after)
    tail = _common(before[head:][::-1], after[head:][::-1])
    middle_before = before[head : len(before) - tail]
    middle_after = after[head : len(after) - tail]
    matcher = difflib.SequenceMatcher(None, middle_before, middle_after, autojunk=False)
    lines = []
    for tag, i1, i2, j1, j2 in matcher.get_opcodes():
        if tag != "equal":
            lines.append(f"@{head + i1}")
            lines += ["-" + line for line in middle_before[i1:i2]]
            lines += ["+" + line for line in middle_after[j1:j2]]
    text = "".join(line + "\n" for line in lines)
    return Delta(base_version, text_digest(old), text_digest(new), text)


def apply_delta(old: str, step: Delta) -> str:
    """Return the text after a step.

    Parameters
    ----------
    old : str
    step : Delta

    Returns
    -------
    str

    Raises
    ------
    DeltaError
        If ``old`` is not the text that the step starts from, or the result does not
        have the step's digest.
    """
    if text_digest(old) != step.base_digest:
        raise DeltaError(f"the text is not version {step.base_version} of this step")
    before = _split(old)
    after = []
    position = 0
    for line in _split(step.text):
        mark, content = line[:1], line[1:]
        if mark == "@":
            start = _line_number(content)
            if not position <= start <= len(before):
                raise DeltaError(f"line {start} is out of order")
            after += before[position:start]
            position = start
        elif mark == "-":
            if before[position : position + 1] != [content]:
                raise DeltaError(f"line {position} is not the one to remove")
            position += 1
        elif mark == "+":
            after.append(content)
        else:
            raise DeltaError(f"unknown mark {mark!r}")
    after += before[position:]
    new = "".join(line + "\n" for line in after)
    if text_digest(new) != step.digest:
        raise DeltaError("the result does not have the step's digest")
    return new


def _split(text: str) -> list[str]:
    # Only line feeds separate lines; str.splitlines also splits at other characters.
    lines = text.split("\n")
    if lines.pop():
        raise DeltaError("the last line does not end in a line feed")
    return lines


def _common(first: list[str], second: list[str]) -> int:
    count = 0
    for left, right in zip(first, second, strict=False):
        if left != right:
            break
        count += 1
    return count


def _line_number(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 9):
        raise DeltaError(f"bad line number {text[:20]!r}")
    return int(text)
