"""Outcomes of sending a request to an upstream."""

import enum


class Outcome(enum.Enum):
    """What is known about the execution after the request was sent."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
