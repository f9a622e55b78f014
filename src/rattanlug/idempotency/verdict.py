"""What to do with a request after its record was read."""

import enum


class Verdict(enum.Enum):
    """Outcome of a decision."""

    CLAIM = "claim"
    PROCEED = "proceed"
    REPLAY = "replay"
    REFUSE = "refuse"
