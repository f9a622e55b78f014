"""States of an operation record."""

import enum


class State(enum.Enum):
    """What is known of the operation."""

    INTENT = "intent"
    DONE = "done"
    NOT_RUN = "not_run"
