"""Outcomes of sending a request."""

import enum


class Outcome(enum.Enum):
    """What is known of the execution after sending."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
