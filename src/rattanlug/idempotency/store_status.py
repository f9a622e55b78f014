"""Outcomes of one call to the table service."""

import enum


class StoreStatus(enum.Enum):
    """What is known after the call.

    ``FAILED`` means that a write had no effect, ``LOST`` that it may have had one.
    """

    OK = "ok"
    CONFLICT = "conflict"
    FAILED = "failed"
    LOST = "lost"
