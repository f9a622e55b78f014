"""Step that responds with an error."""

from typing import NamedTuple

from rattanlug.errors import executed, kind


class Refuse(NamedTuple):
    """Respond to the caller with an error; the result is ignored.

    Attributes
    ----------
    error_kind : kind.ErrorKind
    executed : executed.Executed
        Whether the request was executed; overrides the value of the error kind.
    """

    error_kind: kind.ErrorKind
    executed: executed.Executed
