"""Result of a judgement."""

from typing import NamedTuple


class Verdict(NamedTuple):
    """Judgement of the new version on one route.

    Attributes
    ----------
    bad : bool
        True when the evidence passed the limit that the false-alarm rate sets.
    evidence : float
        Evidence against the new version over that limit; 1 and more is bad.
    reason : str
    """

    bad: bool
    evidence: float
    reason: str
