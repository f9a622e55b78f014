"""Helpers to read values of unknown shape."""

import json
import math
from typing import Any


class UnreadableError(ValueError):
    """A value of the platform does not have the shape that it should have."""


def json_object(data: bytes) -> dict[str, Any]:
    """Decode a JSON object.

    Raises
    ------
    UnreadableError
    """
    try:
        value = json.loads(data)
    except ValueError as exc:
        raise UnreadableError("the value is not JSON") from exc
    if not isinstance(value, dict):
        raise UnreadableError("the value is not an object")
    return value


def field(table: dict[str, Any], name: str, *wanted: type) -> Any:
    """Return a field of one of the wanted types.

    Raises
    ------
    UnreadableError
        When it is missing or has another type; a bool is no number.
    """
    value = table.get(name)
    if not isinstance(value, wanted) or (
        isinstance(value, bool) and bool not in wanted
    ):
        raise UnreadableError(f"{name} is missing or has another type")
    return value


def number(table: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a number, or the default when the field is missing.

    Raises
    ------
    UnreadableError
    """
    if default is not None and table.get(name) is None:
        return default
    try:
        value = float(field(table, name, int, float))
    except OverflowError as exc:
        raise UnreadableError(f"{name} is too large") from exc
    if not math.isfinite(value):
        raise UnreadableError(f"{name} is not finite")
    return value


def at_least(value: float, least: float, name: str) -> float:
    """Return a number that has a lower bound.

    Raises
    ------
    UnreadableError
    """
    if value < least:
        raise UnreadableError(f"{name} is below {least:g}")
    return value


def flag(table: dict[str, Any], name: str) -> bool:
    """Return a truth value, False when it is missing.

    Raises
    ------
    UnreadableError
    """
    return table.get(name) is not None and field(table, name, bool)


def objects(
    table: dict[str, Any], name: str, required: bool = False
) -> list[dict[str, Any]]:
    """Return a list of objects, empty when it is missing and not required.

    Raises
    ------
    UnreadableError
    """
    return _list_of(table, name, dict, required)


def texts(table: dict[str, Any], name: str) -> list[str]:
    """Return a list of texts, empty when it is missing.

    Raises
    ------
    UnreadableError
    """
    return _list_of(table, name, str, False)


def _list_of(
    table: dict[str, Any], name: str, wanted: type, required: bool
) -> list[Any]:
    if table.get(name) is None and not required:
        return []
    found = field(table, name, list)
    if not all(isinstance(each, wanted) for each in found):
        raise UnreadableError(f"an entry of {name} has another type")
    return found
