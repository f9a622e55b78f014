"""The step that refuses or fails the request."""

from typing import NamedTuple

from rattanlug.errors import kind, ran


class Refuse(NamedTuple):
    """Answer the caller with an error; the result is ignored.

    Attributes
    ----------
    error_kind : kind.ErrorKind
    ran : ran.Ran
        Overrides the statement of the table of answers.
    """

    error_kind: kind.ErrorKind
    ran: ran.Ran
