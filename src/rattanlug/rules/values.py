"""Converters from the text of a value to the value.

Each raises ``ValueError`` with a description of the accepted values.
"""

import datetime
import enum
import ipaddress
import re
from collections.abc import Callable
from typing import TypeVar

# Longest request deadline. A new holder of a seat waits 11 s before it uses slots,
# because no request of the previous holder lasts longer than this.
MAX_DEADLINE_S = 10.0

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_NUMBER = re.compile(r"[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]{1,3})?")
_INTEGER = re.compile(r"[0-9]{1,15}")
_DIGEST = re.compile(r"[0-9a-f]{64}")
# Printable ASCII without query, fragment and spaces.
_PATH = re.compile(r"/[!-\"$->@-~]*")
_RESERVED_PATH = "/.rattanlug"

NAME_FORM = "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"

_Choice = TypeVar("_Choice", bound=enum.Enum)


def name(text: str) -> str:
    """Return a valid name."""
    if not _NAME.fullmatch(text):
        raise ValueError(NAME_FORM)
    return text


def number_above_zero(text: str) -> float:
    """Return a finite number above 0."""
    value = float(text) if _NUMBER.fullmatch(text) else 0.0
    if not 0 < value < float("inf"):
        raise ValueError("a number above 0")
    return value


def number_from_one(text: str) -> float:
    """Return a finite number of at least 1."""
    value = float(text) if _NUMBER.fullmatch(text) else 0.0
    if not 1 <= value < float("inf"):
        raise ValueError("a number of at least 1")
    return value


def share(text: str) -> float:
    """Return a number above 0 and below 1."""
    value = float(text) if _NUMBER.fullmatch(text) else 0.0
    if not 0 < value < 1:
        raise ValueError("a number above 0 and below 1")
    return value


def duration(text: str) -> float:
    """Return a duration above 0 and at most ``MAX_DEADLINE_S``, seconds."""
    value = float(text) if _NUMBER.fullmatch(text) else 0.0
    if not 0 < value <= MAX_DEADLINE_S:
        raise ValueError(f"seconds above 0 and at most {MAX_DEADLINE_S:g}")
    return value


def count(text: str) -> int:
    """Return a whole number of at least 1."""
    value = int(text) if _INTEGER.fullmatch(text) else 0
    if value < 1:
        raise ValueError("a whole number of at least 1")
    return value


def count_or_zero(text: str) -> int:
    """Return a whole number of at least 0."""
    if not _INTEGER.fullmatch(text):
        raise ValueError("a whole number of at least 0")
    return int(text)


def digest(text: str) -> str:
    """Return a hexadecimal SHA-256 digest."""
    if not _DIGEST.fullmatch(text):
        raise ValueError("64 hexadecimal digits in lower case")
    return text


def method(text: str) -> str:
    """Return an HTTP method that can be routed."""
    accepted = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
    if text not in accepted:
        raise ValueError(", ".join(accepted))
    return text


def path(text: str) -> str:
    """Return a path prefix."""
    if not _PATH.fullmatch(text):
        raise ValueError("a path that starts with '/', without '?' or '#'")
    if text == _RESERVED_PATH or text.startswith(_RESERVED_PATH + "/"):
        raise ValueError(
            f"a path outside {_RESERVED_PATH}, where the daemon serves its endpoints"
        )
    return text


def address(text: str) -> tuple[str, int]:
    """Return IP address and port of ``10.0.0.1:80`` or ``[fd00::1]:80``."""
    host, _, port_text = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        parsed = ipaddress.ip_address(host[1:-1] if bracketed else host)
        port = int(port_text) if _INTEGER.fullmatch(port_text) else 0
    except ValueError:
        parsed, port = None, 0
    if parsed is None or bracketed != (parsed.version == 6) or not 0 < port < 65536:
        raise ValueError("<IPv4>:<port> or [<IPv6>]:<port>, port 1 to 65535")
    return str(parsed), port


def time(text: str) -> float:
    """Return an ISO 8601 time with time zone as seconds since the epoch."""
    try:
        value = datetime.datetime.fromisoformat(text)
    except ValueError:
        value = None
    if value is None or value.tzinfo is None:
        raise ValueError("a time such as 2026-12-04T18:00:00Z")
    return value.timestamp()


def choice(choices: type[_Choice]) -> Callable[[str], _Choice]:
    """Return a function that accepts the values of an enumeration."""

    def choose(text: str) -> _Choice:
        try:
            return choices(text)
        except ValueError:
            raise ValueError(", ".join(each.value for each in choices)) from None

    return choose
