"""The stored record of a move."""

from typing import NamedTuple

from rattanlug.model import move as planned_move
from rattanlug.rollout import move_state


class MoveRecord(NamedTuple):
    """Row ``moves/<name>``.

    Attributes
    ----------
    state : move_state.MoveState
    share : float
        Share of requests for the new version while ramping, 0 to 1.
    term : int
        Term of the steering lease under which the row was written.
    started : float
        Time at which the move left the waiting state, seconds since the epoch; 0
        before.
    deadline : float
        Seconds since the epoch.
    reason : str
        Why the move is in its state.
    """

    state: move_state.MoveState
    share: float
    term: int
    started: float
    deadline: float
    reason: str = ""

    def to_json(self) -> dict:
        """Return the value of the row."""
        return {**self._asdict(), "state": self.state.value}

    @classmethod
    def from_json(cls, fields: dict) -> "MoveRecord":
        """Read the value of a row.

        Raises
        ------
        ValueError
            If the value is not a move record.
        """
        try:
            return cls(**{**fields, "state": move_state.MoveState(fields["state"])})
        except (TypeError, KeyError) as error:
            raise ValueError(f"not a move record: {error}") from error


def new_record(planned: planned_move.Move, term: int) -> MoveRecord:
    """Return the first record of a planned move."""
    return MoveRecord(
        move_state.MoveState.WAITING, 0.0, term, 0.0, planned.deadline, "planned"
    )
