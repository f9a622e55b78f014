"""States of a move."""

import enum


class MoveState(enum.Enum):
    """Where a move is; the last two states are final."""

    WAITING = "waiting"
    CANARY = "canary"
    RAMPING = "ramping"
    DONE = "done"
    ROLLED_BACK = "taken_back"

    @property
    def final(self) -> bool:
        """True when the move never changes again."""
        return self in (MoveState.DONE, MoveState.ROLLED_BACK)
