"""States of a rollout."""

import enum


class RolloutState(enum.Enum):
    """State of a rollout, as stored."""

    RUNNING = "running"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"
