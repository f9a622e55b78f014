"""Record of an operation in the table service."""

from typing import NamedTuple

from rattanlug.idempotency import recorded_answer, state

TABLE = "operations"


class OperationRecord(NamedTuple):
    """One row of the table ``operations``.

    Attributes
    ----------
    state : state.State
    digest : str
        Digest of the request that claimed the identity.
    vm : str
        VM that wrote the record last.
    incarnation : int
    attempt : str
        Token of the attempt, unique across all VMs and restarts.
    answer : recorded_answer.RecordedAnswer or None
        Response of a ``done`` record; ``None`` if it was too large to keep.
    created_at : float
        Time in the identity, seconds since the epoch; the record may be deleted
        ``identity.RECORD_LIFETIME_S`` later.
    """

    state: state.State
    digest: str
    vm: str
    incarnation: int
    attempt: str
    answer: recorded_answer.RecordedAnswer | None = None
    created_at: float = 0.0

    def to_json(self) -> dict:
        """Return the JSON form."""
        answer = self.answer.to_json() if self.answer is not None else None
        return self._asdict() | {"state": self.state.value, "answer": answer}

    @classmethod
    def from_json(cls, value: dict) -> "OperationRecord":
        """Return the record from its JSON form."""
        answer = value["answer"]
        if answer is not None:
            answer = recorded_answer.RecordedAnswer.from_json(answer)
        return cls(**value | {"state": state.State(value["state"]), "answer": answer})


def record_key(organisation: str, identity_text: str) -> str:
    """Return the key of the row of one operation."""
    return f"{organisation}/{identity_text}"
