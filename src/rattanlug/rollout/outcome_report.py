"""Report of one VM to the steering VM."""

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
        Why the VM's local guard stopped requests to the new version; empty if it
        hasn't.
    capped : bool
        True if the cap limited the requests to the new version.
    """

    vm: str
    old: Mapping[str, outcome_counts.OutcomeCounts]
    new: Mapping[str, outcome_counts.OutcomeCounts]
    stopped: str = ""
    capped: bool = False
