"""Outcomes of sending a request to an upstream."""

import enum


class Outcome(enum.Enum):
    """What is known about the execution after the request was sent."""

    #: The upstream has responded.
    ANSWERED = "answered"
    #: The request was certainly not executed.
    NOT_RUN = "not_run"
    #: The request may have been executed.
    UNKNOWN = "unknown"
