"""Actions for an attempt after its record was read."""

import enum


class Action(enum.Enum):
    """Next action of an attempt."""

    CLAIM = "claim"
    PROCEED = "proceed"
    REPLAY = "replay"
    REFUSE = "refuse"
