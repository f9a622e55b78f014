"""Decides what a request may do, given the stored record of its identity."""

from typing import NamedTuple

from rattanlug.errors import kind
from rattanlug.idempotency import record, recorded_answer, state, verdict


class Decision(NamedTuple):
    """What to do next.

    Attributes
    ----------
    verdict : verdict.Verdict
    expected : int
        Revision for the next conditional write; 0 stands for "absent".
    answer : recorded_answer.RecordedAnswer or None
        Answer to replay.
    error_kind : kind.ErrorKind or None
        Reason of a refusal.
    """

    verdict: verdict.Verdict
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
        Stored record, ``None`` when absent.
    revision : int
        Revision of the stored record, 0 when absent.
    attempt : str
        Token of this attempt.
    digest : str
        Digest of this request.

    Returns
    -------
    Decision
        ``PROCEED`` only when the stored intent is this attempt's own.
    """
    if found is None:
        return Decision(verdict.Verdict.CLAIM)
    if found.digest != digest:
        return _refuse(kind.ErrorKind.IDENTITY_REUSED)
    if found.state is state.State.DONE:
        if found.answer is None:
            return _refuse(kind.ErrorKind.ANSWER_TOO_LARGE)
        return Decision(verdict.Verdict.REPLAY, answer=found.answer)
    if found.state is state.State.NOT_RUN:
        return Decision(verdict.Verdict.CLAIM, expected=revision)
    if found.attempt == attempt:
        return Decision(verdict.Verdict.PROCEED, expected=revision)
    return _refuse(kind.ErrorKind.OUTCOME_UNKNOWN)


def _refuse(error_kind: kind.ErrorKind) -> Decision:
    return Decision(verdict.Verdict.REFUSE, error_kind=error_kind)
