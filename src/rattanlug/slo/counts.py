"""Counts of requests against an objective."""

from typing import NamedTuple


class Counts(NamedTuple):
    """Requests of one organisation on one route.

    Attributes
    ----------
    total : int
    failed : int
        Requests whose response was an error of the service.
    slow : int
        Requests without an error that took longer than the objective's latency.
    """

    total: int = 0
    failed: int = 0
    slow: int = 0

    @property
    def bad(self) -> int:
        """Requests that use up the error budget."""
        return self.failed + self.slow

    def plus(self, other: "Counts") -> "Counts":
        """Return the sum of two counts."""
        return Counts(*(left + right for left, right in zip(self, other, strict=True)))
