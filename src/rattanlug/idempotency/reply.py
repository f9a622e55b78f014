"""The step that gives the caller an upstream's answer."""

from typing import NamedTuple

from rattanlug.idempotency import recorded_answer


class Reply(NamedTuple):
    """Answer the caller; the result is ignored.

    Attributes
    ----------
    answer : recorded_answer.RecordedAnswer
    replayed : bool
        Whether the answer comes from a record of an earlier attempt.
    """

    answer: recorded_answer.RecordedAnswer
    replayed: bool = False
