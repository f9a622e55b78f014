"""What one VM tells the steering VM."""

from collections.abc import Mapping
from typing import NamedTuple

from rattanlug.rollout import outcome_counts


class OutcomeReport(NamedTuple):
    """Counts of one VM since its previous report.

    Attributes
    ----------
    vm : str
    old, new : Mapping
        Counts by route for the old and the new version.
    stopped : str
        Why the VM's own guard stopped sending to the new version; empty if not.
    capped : bool
        True when the cap kept requests from the new version.
    """

    vm: str
    old: Mapping[str, outcome_counts.OutcomeCounts]
    new: Mapping[str, outcome_counts.OutcomeCounts]
    stopped: str = ""
    capped: bool = False
