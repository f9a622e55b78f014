"""Rule files that operators edit."""

import pathlib
import re
from typing import NamedTuple

from rattanlug.errors import error, kind
from rattanlug.rules import parser

_HEADER = re.compile(r"# version ([0-9]{1,15})\r?\n?")


class RuleFile(NamedTuple):
    """Text of a rule file and the version that it is based on.

    Attributes
    ----------
    text : str
        Rules without the version header.
    version : int or None
        Version in the header that ``rattanlug rules show`` writes into the first line.
    """

    text: str
    version: int | None


def header(version: int) -> str:
    """Return the version header, the first line of a rule file."""
    return f"# version {version}\n"


def read(path: str) -> RuleFile:
    """Read and check a rule file.

    Raises
    ------
    error.InvalidInputError
        With one line for each error; line numbers are those of the file.
    """
    try:
        # Not read in text mode, which would convert line endings.
        text = pathlib.Path(path).read_bytes().decode()
    except OSError as exc:
        raise _invalid(f"{path}: cannot be read: {exc.strerror}") from exc
    except UnicodeDecodeError as exc:
        detail = f"{path}: byte {exc.start}: not UTF-8; accepted: UTF-8 text"
        raise _invalid(detail) from exc
    try:
        parser.parse_rules(text)
    except error.InvalidInputError as exc:
        lines = (f"{path}: {line}" for line in exc.detail.split("\n"))
        raise _invalid("\n".join(lines)) from exc
    first = _HEADER.match(text)
    if first is None:
        return RuleFile(text, None)
    return RuleFile(text[first.end() :], int(first[1]))


def _invalid(detail):
    return error.InvalidInputError(kind.ErrorKind.RULE_INVALID, detail)
