"""Line-based deltas between consecutive versions of the rule text."""

import difflib
import hashlib
from typing import NamedTuple


def text_digest(text: str) -> str:
    """Return the SHA-256 digest of a rule text, 64 hexadecimal digits."""
    return hashlib.sha256(text.encode()).hexdigest()


class DeltaError(ValueError):
    """A delta is malformed or does not apply to the text."""


class Delta(NamedTuple):
    """Change from one version of the rule text to the next.

    Attributes
    ----------
    base_version : int
    base_digest : str
        SHA-256 of the base text, 64 hexadecimal digits.
    digest : str
        SHA-256 of the new text.
    text : str
        Hunks: ``@<line number, from 0>``, then removed lines with the prefix ``-`` and
        added lines with the prefix ``+``. Line numbers refer to the base text, in
        ascending order.
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
        Rule texts; each line ends in a line feed, including the last one.
    base_version : int
        Version of ``old``.

    Returns
    -------
    Delta
    """
    before, after = _split_lines(old), _split_lines(new)
    # The common prefix and suffix are removed first, since difflib takes quadratic time
    # on long equal parts.
    prefix_length = _common_prefix_length(before, after)
    suffix_length = _common_prefix_length(
        before[prefix_length:][::-1], after[prefix_length:][::-1]
    )
    middle_before = before[prefix_length : len(before) - suffix_length]
    middle_after = after[prefix_length : len(after) - suffix_length]
    matcher = difflib.SequenceMatcher(None, middle_before, middle_after, autojunk=False)
    lines = []
    for tag, i1, i2, j1, j2 in matcher.get_opcodes():
        if tag != "equal":
            lines.append(f"@{prefix_length + i1}")
            lines += ["-" + line for line in middle_before[i1:i2]]
            lines += ["+" + line for line in middle_after[j1:j2]]
    text = "".join(line + "\n" for line in lines)
    return Delta(base_version, text_digest(old), text_digest(new), text)


def apply_delta(old: str, step: Delta) -> str:
    """Return the text that results from a delta.

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
        If ``old`` is not the base text of the delta, or the result does not have the
        delta's digest.
    """
    if text_digest(old) != step.base_digest:
        raise DeltaError(f"the text is not base version {step.base_version}")
    before = _split_lines(old)
    after = []
    position = 0
    for line in _split_lines(step.text):
        prefix, content = line[:1], line[1:]
        if prefix == "@":
            start = _line_number(content)
            if not position <= start <= len(before):
                raise DeltaError(f"line number {start} is out of order")
            after += before[position:start]
            position = start
        elif prefix == "-":
            if before[position : position + 1] != [content]:
                raise DeltaError(f"line {position} differs from the line to remove")
            position += 1
        elif prefix == "+":
            after.append(content)
        else:
            raise DeltaError(f"unknown line prefix {prefix!r}")
    after += before[position:]
    new = "".join(line + "\n" for line in after)
    if text_digest(new) != step.digest:
        raise DeltaError("the resulting text does not have the delta's digest")
    return new


def _split_lines(text: str) -> list[str]:
    # Only line feeds separate lines; str.splitlines also splits at other characters.
    lines = text.split("\n")
    if lines.pop():
        raise DeltaError("the last line does not end in a line feed")
    return lines


def _common_prefix_length(first: list[str], second: list[str]) -> int:
    count = 0
    for left, right in zip(first, second, strict=False):
        if left != right:
            break
        count += 1
    return count


def _line_number(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 9):
        raise DeltaError(f"invalid line number {text[:20]!r}")
    return int(text)
