"""States of a move."""

import enum


class MoveState(enum.Enum):
    """State of a move; the last two are final."""

    WAITING = "waiting"
    CANARY = "canary"
    RAMPING = "ramping"
    DONE = "done"
    ROLLED_BACK = "taken_back"

    @property
    def final(self) -> bool:
        """Whether the state never changes again."""
        return self in (MoveState.DONE, MoveState.ROLLED_BACK)
