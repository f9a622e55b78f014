"""The step that refuses or fails the request."""

from typing import NamedTuple

from rattanlug.errors import executed, kind


class Refuse(NamedTuple):
    """Answer the caller with an error; the result is ignored.

    Attributes
    ----------
    error_kind : kind.ErrorKind
    executed : executed.Executed
        Overrides the statement of the table of answers.
    """

    error_kind: kind.ErrorKind
    executed: executed.Executed
