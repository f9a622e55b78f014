"""Result of sending a request to an upstream."""

from typing import NamedTuple

from rattanlug.errors import kind
from rattanlug.idempotency import outcome, recorded_answer


class SendResult(NamedTuple):
    """What is known after the request was sent.

    Attributes
    ----------
    outcome : outcome.Outcome
        ``NOT_RUN`` only if no byte was sent or the upstream responded that the request
        was not executed.
    answer : recorded_answer.RecordedAnswer or None
        Complete response, if there is one.
    error_kind : kind.ErrorKind
        Error for the caller if there is no response.
    """

    outcome: outcome.Outcome
    answer: recorded_answer.RecordedAnswer | None = None
    error_kind: kind.ErrorKind = kind.ErrorKind.UPSTREAM_FAILED
