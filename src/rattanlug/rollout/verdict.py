"""Verdict on a new version."""

from typing import NamedTuple


class Verdict(NamedTuple):
    """Verdict on the new version on one route.

    Attributes
    ----------
    bad : bool
        True if the evidence exceeds the limit given by the false-alarm probability.
    evidence : float
        Log evidence against the new version, divided by that limit; the verdict is bad
        from 1.
    reason : str
    """

    bad: bool
    evidence: float
    reason: str
