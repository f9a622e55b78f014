"""Checks of single settings, registered by type.

A check returns the value or raises ``ValueError``. The description of the accepted
values is registered with it, so that it can also be reported for a missing field.
"""

import ipaddress
from collections.abc import Callable
from typing import Any, NamedTuple

from rattanlug.rules import values
from rattanlug.settings import setting_types

_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class Check(NamedTuple):
    """A check and the values that it accepts.

    Attributes
    ----------
    accepted : str
        Description of the accepted values.
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


@accepts(setting_types.Name, values.NAME_FORM)
def check_name(value):
    """Return a name of the form that the rules use."""
    return values.name(_require_type(value, str))


@accepts(setting_types.Host, "an IPv4 or IPv6 number in quotes")
def check_host(value):
    """Return an IP address."""
    return str(ipaddress.ip_address(_require_type(value, str)))


@accepts(setting_types.Port, "1 to 65535")
def check_port(value):
    """Return a TCP port."""
    if not 1 <= _require_type(value, int) <= 65535:
        raise ValueError
    return value


@accepts(setting_types.Digest, "64 hexadecimal digits in lower case, or an empty text")
def check_digest(value):
    """Return a hexadecimal SHA-256 digest, or an empty string for none."""
    return values.digest(value) if _require_type(value, str) else ""


@accepts(setting_types.LogLevel, ", ".join(_LOG_LEVELS))
def check_log_level(value):
    """Return the name of a log level."""
    if _require_type(value, str) not in _LOG_LEVELS:
        raise ValueError
    return value


def _require_type(value, expected):
    # isinstance would accept True as an int.
    if type(value) is not expected:
        raise ValueError
    return value
