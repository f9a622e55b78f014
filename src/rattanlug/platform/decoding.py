"""Helpers that validate and read JSON values from the platform."""

import math
from typing import Any

from rattanlug.encoding import json_text


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
        When it is missing or of none of these types; bool does not count as int.
    """
    value = table.get(name)
    if not isinstance(value, expected) or (
        isinstance(value, bool) and bool not in expected
    ):
        raise MalformedValueError(f"{name} is missing or has the wrong type")
    return value


def number(table: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a finite number, or the default if the field is missing.

    Raises
    ------
    MalformedValueError
    """
    if default is not None and table.get(name) is None:
        return default
    try:
        value = float(field(table, name, int, float))
    except OverflowError as exc:
        raise MalformedValueError(f"{name} is too large") from exc
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
    return found
