"""Helpers that validate and read JSON values from the platform."""

import math
from typing import Any

from rattanlug.encoding import json_text

# Integers are exchanged between VMs as signed 64-bit numbers.
MAX_INTEGER = 2**63 - 1
_MAX_DIGITS = len(str(MAX_INTEGER))


class MalformedValueError(ValueError):
    """A value of the platform is not valid JSON or lacks an expected field or type."""


def json_object(data: bytes) -> dict[str, Any]:
    """Decode a JSON object.

    Raises
    ------
    MalformedValueError
    """
    try:
        value = json_text.decode(data)
    except ValueError as exc:
        raise MalformedValueError(f"the value is not valid JSON: {exc}") from exc
    if not isinstance(value, dict):
        raise MalformedValueError("the value is not a JSON object")
    return value


def field(table: dict[str, Any], name: str, *expected: type) -> Any:
    """Return a field of one of the expected types.

    Raises
    ------
    MalformedValueError
        When it is missing or of none of these types, where bool does not count as
        int, or when it is a string that can't be encoded or an integer of more than
        64 bits.
    """
    value = table.get(name)
    if not isinstance(value, expected) or (
        isinstance(value, bool) and bool not in expected
    ):
        raise MalformedValueError(f"{name} is missing or has the wrong type")
    if isinstance(value, str):
        return encodable(value, name)
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        raise MalformedValueError(f"{name} is too large")
    return value


def integer_text(text: str) -> int:
    """Return the integer that a header's decimal digits express.

    Raises
    ------
    MalformedValueError
    """
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS):
        raise MalformedValueError("the text is not an integer")
    value = int(text)
    if value > MAX_INTEGER:
        raise MalformedValueError("the integer is too large")
    return value


def encodable(value: str, name: str) -> str:
    """Return a string after checking that it can be encoded.

    JSON can express halves of surrogate pairs, which have no encoding.

    Raises
    ------
    MalformedValueError
    """
    try:
        value.encode()
    except UnicodeEncodeError as exc:
        raise MalformedValueError(f"{name} is not valid Unicode") from exc
    return value


def number(table: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a finite number, or the default if the field is missing.

    Raises
    ------
    MalformedValueError
    """
    if default is not None and table.get(name) is None:
        return default
    value = float(field(table, name, int, float))
    if not math.isfinite(value):
        raise MalformedValueError(f"{name} is not finite")
    return value


def require_at_least(value: float, minimum: float, name: str) -> float:
    """Return a number after checking its lower bound.

    Raises
    ------
    MalformedValueError
    """
    if value < minimum:
        raise MalformedValueError(f"{name} is below {minimum:g}")
    return value


def flag(table: dict[str, Any], name: str) -> bool:
    """Return a boolean, False if it is missing.

    Raises
    ------
    MalformedValueError
    """
    return table.get(name) is not None and field(table, name, bool)


def objects(
    table: dict[str, Any], name: str, required: bool = False
) -> list[dict[str, Any]]:
    """Return a list of objects, empty if it is missing and not required.

    Raises
    ------
    MalformedValueError
    """
    return _list_of(table, name, dict, required)


def strings(table: dict[str, Any], name: str) -> list[str]:
    """Return a list of strings, empty if it is missing.

    Raises
    ------
    MalformedValueError
    """
    return _list_of(table, name, str, False)


def _list_of(
    table: dict[str, Any], name: str, expected: type, required: bool
) -> list[Any]:
    if table.get(name) is None and not required:
        return []
    found = field(table, name, list)
    if not all(isinstance(each, expected) for each in found):
        raise MalformedValueError(f"an entry of {name} has the wrong type")
    if expected is str:
        return [encodable(each, name) for each in found]
    return found
