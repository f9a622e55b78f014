"""HTTP response for each error kind."""

from typing import NamedTuple

from rattanlug.errors import executed, kind


class ErrorResponse(NamedTuple):
    """The HTTP response for one error kind.

    Attributes
    ----------
    status : int
        HTTP status code.
    executed : executed.Executed
        Whether the request was executed, unless the error overrides it.
    retry_after : float or None
        Seconds after which a retry is useful, for the ``Retry-After`` header.
    """

    status: int
    executed: executed.Executed
    retry_after: float | None = None


_NO = executed.Executed.NO
_UNKNOWN = executed.Executed.UNKNOWN
_YES = executed.Executed.YES

RESPONSES = {
    kind.ErrorKind.KEY_UNKNOWN: ErrorResponse(401, _NO),
    kind.ErrorKind.KEY_WITHDRAWN: ErrorResponse(401, _NO),
    kind.ErrorKind.KEYS_STALE: ErrorResponse(503, _NO, 2),
    kind.ErrorKind.ORGANISATION_MISMATCH: ErrorResponse(403, _NO),
    kind.ErrorKind.RATE_LIMITED: ErrorResponse(429, _NO, 1),
    kind.ErrorKind.NO_CAPACITY: ErrorResponse(503, _NO, 1),
    # Received only by a caller that closed just its sending half.
    kind.ErrorKind.CALLER_LEFT: ErrorResponse(503, _NO, 1),
    kind.ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, _UNKNOWN),
    kind.ErrorKind.IDENTITY_MISSING: ErrorResponse(400, _NO),
    kind.ErrorKind.IDENTITY_REUSED: ErrorResponse(422, _NO),
    kind.ErrorKind.IDENTITY_EXPIRED: ErrorResponse(422, _NO),
    kind.ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(409, _UNKNOWN, 2),
    kind.ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(503, _NO, 2),
    kind.ErrorKind.NO_MAJORITY: ErrorResponse(503, _NO, 2),
    kind.ErrorKind.ROUTE_UNKNOWN: ErrorResponse(404, _NO),
    kind.ErrorKind.REQUEST_MALFORMED: ErrorResponse(400, _NO),
    kind.ErrorKind.REQUEST_TOO_LARGE: ErrorResponse(413, _NO),
    kind.ErrorKind.ANSWER_BROKEN: ErrorResponse(502, _UNKNOWN),
    kind.ErrorKind.ANSWER_TOO_LARGE: ErrorResponse(502, _YES),
    kind.ErrorKind.MEMORY_USED_UP: ErrorResponse(502, _YES),
    kind.ErrorKind.UPSTREAM_FAILED: ErrorResponse(502, _UNKNOWN),
    kind.ErrorKind.STARTING: ErrorResponse(503, _NO, 1),
    kind.ErrorKind.LEAVING: ErrorResponse(503, _NO, 0),
    kind.ErrorKind.VERSION_CONFLICT: ErrorResponse(409, _NO),
    kind.ErrorKind.RULE_INVALID: ErrorResponse(422, _NO),
    kind.ErrorKind.SETTINGS_INVALID: ErrorResponse(422, _NO),
}


def response_for(error_kind):
    """Return the HTTP response for an error kind.

    Parameters
    ----------
    error_kind : kind.ErrorKind
        The kind of the error.

    Returns
    -------
    ErrorResponse
        Status, whether the request was executed, and retry delay.
    """
    return RESPONSES[error_kind]
