"""Actions for an attempt after its record was read."""

import enum


class Action(enum.Enum):
    """Next action of an attempt."""

    #: Write the attempt's intent to the record.
    CLAIM = "claim"
    #: Send the request to an upstream.
    PROCEED = "proceed"
    #: Respond with the recorded response.
    REPLAY = "replay"
    #: Respond with an error.
    REFUSE = "refuse"
