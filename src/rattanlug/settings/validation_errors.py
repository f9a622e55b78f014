"""Describes validation errors in text for operators."""

import json
from collections.abc import Iterator

from cattrs import errors


class InvalidValueError(Exception):
    """A value was rejected by its check.

    Parameters
    ----------
    value : Any
        JSON value.
    accepted : str
        Description of the accepted values.
    """

    def __init__(self, value, accepted: str):
        super().__init__(accepted)
        self._value = value
        self._accepted = accepted

    def __str__(self) -> str:
        """Return the value and what is accepted."""
        text = json.dumps(self._value)
        shown = text if len(text) <= 60 else f"{text[:57]}..."
        return f"got {shown}; accepted: {self._accepted}"


def describe(exc: BaseException, describe_type, path: str = "$") -> Iterator[str]:
    """Yield one line for each validation error.

    Parameters
    ----------
    exc : BaseException
        Error of the converter, possibly a group of errors.
    describe_type : callable
        Function from a type to a description of the accepted values.
    path : str
        JSON path of the value.
    """
    if isinstance(exc, errors.ClassValidationError):
        located_errors, other_errors = exc.group_exceptions()
        for each, note in located_errors:
            field_path = f"{path}.{note.name}"
            if isinstance(each, KeyError):
                yield f"{field_path}: missing; accepted: {describe_type(note.type)}"
            else:
                yield from describe(each, describe_type, field_path)
        for each in other_errors:
            yield from describe(each, describe_type, path)
    elif isinstance(exc, errors.IterableValidationError):
        located_errors, other_errors = exc.group_exceptions()
        for each, note in located_errors:
            yield from describe(each, describe_type, f"{path}[{note.index}]")
        for each in other_errors:
            yield from describe(each, describe_type, path)
    elif isinstance(exc, errors.ForbiddenExtraKeysError):
        accepted = ", ".join(exc.cl._fields)
        for each in sorted(exc.extra_fields):
            yield f"{path}.{each}: unknown; accepted: {accepted}"
    else:
        yield f"{path}: {exc}"
