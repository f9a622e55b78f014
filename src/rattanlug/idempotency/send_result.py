"""The result of sending a request to an upstream."""

from typing import NamedTuple

from rattanlug.errors import kind
from rattanlug.idempotency import outcome, recorded_answer


class SendResult(NamedTuple):
    """What is known after the step.

    Attributes
    ----------
    outcome : outcome.Outcome
        ``NOT_RUN`` only when no byte was sent or the upstream said so.
    answer : recorded_answer.RecordedAnswer or None
        Complete answer, when there is one.
    error_kind : kind.ErrorKind
        Reason for the caller when there is no answer.
    """

    outcome: outcome.Outcome
    answer: recorded_answer.RecordedAnswer | None = None
    error_kind: kind.ErrorKind = kind.ErrorKind.UPSTREAM_FAILED
