"""Whether a rejected or failed request was executed."""

import enum


class Executed(enum.Enum):
    """What an error response states about the execution of its request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"
