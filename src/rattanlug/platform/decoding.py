"""Helpers to read values of unknown shape."""

import json
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
    return float(field(table, name, int, float))
