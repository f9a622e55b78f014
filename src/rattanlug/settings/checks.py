"""Checks of single settings, found by type in a registry.

A check returns the value or raises ``ValueError``; what it accepts is registered with
it, so that a missing field can be reported in the same words.
"""

import ipaddress
from collections.abc import Callable
from typing import Any, NamedTuple

from rattanlug.rules import values
from rattanlug.settings import kinds

_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class Check(NamedTuple):
    """A check and what it accepts.

    Attributes
    ----------
    accepted : str
    check : callable
    """

    accepted: str
    check: Callable[[Any], Any]


CHECKS: dict[Any, Check] = {}


def accepts(kind: Any, accepted: str):
    """Register the decorated function as the check of a type."""

    def register(check):
        CHECKS[kind] = Check(accepted, check)
        return check

    return register


@accepts(kinds.Name, values.NAME_FORM)
def check_name(value):
    """Return a name as rules use it."""
    return values.name(_require(value, str))


@accepts(kinds.Host, "an IPv4 or IPv6 number in quotes")
def check_host(value):
    """Return an IP address; VMs address each other by number."""
    return str(ipaddress.ip_address(_require(value, str)))


@accepts(kinds.Port, "1 to 65535")
def check_port(value):
    """Return a TCP port."""
    if not 1 <= _require(value, int) <= 65535:
        raise ValueError
    return value


@accepts(kinds.Digest, "64 hexadecimal digits in lower case, or an empty text")
def check_digest(value):
    """Return a SHA-256 in hexadecimal, or an empty text for none."""
    return values.digest(value) if _require(value, str) else ""


@accepts(kinds.LogLevel, ", ".join(_LOG_LEVELS))
def check_log_level(value):
    """Return the name of a log level."""
    if _require(value, str) not in _LOG_LEVELS:
        raise ValueError
    return value


def _require(value, expected):
    # An exact comparison, because True would pass as a whole number.
    if type(value) is not expected:
        raise ValueError
    return value
