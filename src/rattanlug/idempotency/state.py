"""States of an operation record."""

import enum


class State(enum.Enum):
    """What is known about the operation."""

    INTENT = "intent"
    DONE = "done"
    NOT_RUN = "not_run"
