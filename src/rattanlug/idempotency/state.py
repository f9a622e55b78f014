"""States of an operation record."""

import enum


class State(enum.Enum):
    """What is known about the operation."""

    #: An attempt has claimed the operation and may have sent it to an upstream.
    INTENT = "intent"
    #: The upstream has responded.
    DONE = "done"
    #: The claim has ended without an execution; another attempt may claim.
    NOT_RUN = "not_run"
