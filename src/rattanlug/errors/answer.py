"""The table from error kind to HTTP answer."""

from typing import NamedTuple

from rattanlug.errors import executed, kind


class Answer(NamedTuple):
    """The HTTP answer for one error kind.

    Attributes
    ----------
    status : int
        HTTP status code.
    executed : executed.Executed
        What the answer states about execution unless the error overrides it.
    retry_after : float or None
        Seconds after which a repeat is useful, for the ``Retry-After`` header.
    """

    status: int
    executed: executed.Executed
    retry_after: float | None = None


_NO = executed.Executed.NO
_UNKNOWN = executed.Executed.UNKNOWN
_YES = executed.Executed.YES

ANSWERS = {
    kind.ErrorKind.KEY_UNKNOWN: Answer(401, _NO),
    kind.ErrorKind.KEY_WITHDRAWN: Answer(401, _NO),
    kind.ErrorKind.KEYS_STALE: Answer(503, _NO, 2),
    kind.ErrorKind.ORGANISATION_MISMATCH: Answer(403, _NO),
    kind.ErrorKind.RATE_LIMITED: Answer(429, _NO, 1),
    kind.ErrorKind.NO_CAPACITY: Answer(503, _NO, 1),
    # Read only by a caller that closed its sending half alone.
    kind.ErrorKind.CALLER_LEFT: Answer(503, _NO, 1),
    kind.ErrorKind.DEADLINE_EXCEEDED: Answer(504, _UNKNOWN),
    kind.ErrorKind.IDENTITY_MISSING: Answer(400, _NO),
    kind.ErrorKind.IDENTITY_REUSED: Answer(422, _NO),
    kind.ErrorKind.IDENTITY_EXPIRED: Answer(422, _NO),
    kind.ErrorKind.OUTCOME_UNKNOWN: Answer(409, _UNKNOWN, 2),
    kind.ErrorKind.PLATFORM_UNAVAILABLE: Answer(503, _NO, 2),
    kind.ErrorKind.NO_MAJORITY: Answer(503, _NO, 2),
    kind.ErrorKind.ROUTE_UNKNOWN: Answer(404, _NO),
    kind.ErrorKind.REQUEST_MALFORMED: Answer(400, _NO),
    kind.ErrorKind.REQUEST_TOO_LARGE: Answer(413, _NO),
    kind.ErrorKind.ANSWER_BROKEN: Answer(502, _UNKNOWN),
    kind.ErrorKind.ANSWER_TOO_LARGE: Answer(502, _YES),
    kind.ErrorKind.UPSTREAM_FAILED: Answer(502, _UNKNOWN),
    kind.ErrorKind.STARTING: Answer(503, _NO, 1),
    kind.ErrorKind.LEAVING: Answer(503, _NO, 0),
    kind.ErrorKind.VERSION_CONFLICT: Answer(409, _NO),
    kind.ErrorKind.RULE_INVALID: Answer(422, _NO),
    kind.ErrorKind.SETTINGS_INVALID: Answer(422, _NO),
}


def answer_for(error_kind):
    """Return the answer for an error kind.

    Parameters
    ----------
    error_kind : kind.ErrorKind
        The kind of the error.

    Returns
    -------
    Answer
        Status, statement about execution and retry delay.
    """
    return ANSWERS[error_kind]
