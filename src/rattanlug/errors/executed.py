"""Whether a refused or failed request ran."""

import enum


class Executed(enum.Enum):
    """What a refusal can state about the execution of its request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"
