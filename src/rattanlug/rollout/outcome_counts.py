"""Answers of one version on one route."""

from typing import NamedTuple


class OutcomeCounts(NamedTuple):
    """Counts since the previous report.

    Attributes
    ----------
    requests : int
        Requests that ended, or that have been running longer than the limit for slow
        answers; each counts once.
    errors : int
        Failed requests among them.
    slow : int
        Requests above the limit for slow answers. They count as soon as they pass
        it, so that a version that never answers is noticed.
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
