"""Turns validation errors into lines for an operator."""

import json
from collections.abc import Iterator

from cattrs import errors


class WrongValueError(Exception):
    """A value that its check does not accept.

    Parameters
    ----------
    value : Any
        JSON value.
    accepted : str
    """

    def __init__(self, value, accepted: str):
        super().__init__(accepted)
        self._value = value
        self._accepted = accepted

    def __str__(self) -> str:
        """Return value and what is accepted."""
        text = json.dumps(self._value)
        shown = text if len(text) <= 60 else f"{text[:57]}..."
        return f"got {shown}; accepted: {self._accepted}"


def describe(exc: BaseException, describe_type, path: str = "$") -> Iterator[str]:
    """Yield one line for each fault.

    Parameters
    ----------
    exc : BaseException
        Error of the converter, possibly a group of errors.
    describe_type : callable
        Function from a type to what it accepts.
    path : str
        Place of the value in the file.
    """
    if isinstance(exc, errors.ClassValidationError):
        with_place, others = exc.group_exceptions()
        for each, note in with_place:
            below = f"{path}.{note.name}"
            if isinstance(each, KeyError):
                yield f"{below}: missing; accepted: {describe_type(note.type)}"
            else:
                yield from describe(each, describe_type, below)
        for each in others:
            yield from describe(each, describe_type, path)
    elif isinstance(exc, errors.IterableValidationError):
        with_place, others = exc.group_exceptions()
        for each, note in with_place:
            yield from describe(each, describe_type, f"{path}[{note.index}]")
        for each in others:
            yield from describe(each, describe_type, path)
    elif isinstance(exc, errors.ForbiddenExtraKeysError):
        accepted = ", ".join(exc.cl._fields)
        for each in sorted(exc.extra_fields):
            yield f"{path}.{each}: unknown; accepted: {accepted}"
    else:
        yield f"{path}: {exc}"
