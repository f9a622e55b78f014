"""Outcomes of requests to one version on one route."""

from typing import NamedTuple


class OutcomeCounts(NamedTuple):
    """Counts since the previous report.

    Attributes
    ----------
    requests : int
        Requests that have ended or been in flight for longer than the limit for slow
        responses; each is counted once.
    errors : int
        Failed requests among them.
    slow : int
        Requests that took longer than the limit for slow responses. They are counted as
        soon as they exceed it, so that a version that never responds is detected.
    cold : int
        Requests to an upstream that had just started.
    """

    requests: int = 0
    errors: int = 0
    slow: int = 0
    cold: int = 0

    def plus(self, other: "OutcomeCounts") -> "OutcomeCounts":
        """Return the sum of two counts."""
        return OutcomeCounts(*(a + b for a, b in zip(self, other, strict=True)))
