"""Step that responds with an upstream's response."""

from typing import NamedTuple

from rattanlug.idempotency import recorded_answer


class Reply(NamedTuple):
    """Respond to the caller; the result is ignored.

    Attributes
    ----------
    answer : recorded_answer.RecordedAnswer
    replayed : bool
        Whether the response is from the record of an earlier attempt.
    """

    answer: recorded_answer.RecordedAnswer
    replayed: bool = False
