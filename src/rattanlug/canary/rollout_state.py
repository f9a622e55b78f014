"""States of a move between versions."""

import enum


class RolloutState(enum.Enum):
    """How a move stands."""

    RUNNING = "running"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"
