"""Decides on the next step of an attempt from the stored record of its identity."""

from typing import NamedTuple

from rattanlug.errors import kind
from rattanlug.idempotency import action, record, recorded_answer, state


class Decision(NamedTuple):
    """Next step of an attempt.

    Attributes
    ----------
    action : action.Action
    expected : int
        Revision that the next conditional write expects; 0 if the row must be absent.
    answer : recorded_answer.RecordedAnswer or None
        Response to replay.
    error_kind : kind.ErrorKind or None
        Error to respond with.
    """

    action: action.Action
    expected: int = 0
    answer: recorded_answer.RecordedAnswer | None = None
    error_kind: kind.ErrorKind | None = None


def decide(
    found: record.OperationRecord | None, revision: int, attempt: str, digest: str
) -> Decision:
    """Decide on the next step of an attempt.

    Parameters
    ----------
    found : record.OperationRecord or None
        Stored record, ``None`` if absent.
    revision : int
        Revision of the stored record, 0 if absent.
    attempt : str
        Token of this attempt.
    digest : str
        Digest of this request.

    Returns
    -------
    Decision
        ``PROCEED`` only if the stored intent is that of this attempt.
    """
    if found is None:
        return Decision(action.Action.CLAIM)
    if found.digest != digest:
        return _refuse(kind.ErrorKind.IDENTITY_REUSED)
    if found.state is state.State.DONE:
        if found.answer is None:
            return _refuse(kind.ErrorKind.ANSWER_TOO_LARGE)
        return Decision(action.Action.REPLAY, answer=found.answer)
    if found.state is state.State.NOT_RUN:
        return Decision(action.Action.CLAIM, expected=revision)
    if found.attempt == attempt:
        return Decision(action.Action.PROCEED, expected=revision)
    return _refuse(kind.ErrorKind.OUTCOME_UNKNOWN)


def _refuse(error_kind: kind.ErrorKind) -> Decision:
    return Decision(action.Action.REFUSE, error_kind=error_kind)
