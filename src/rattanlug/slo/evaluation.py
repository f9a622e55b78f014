"""Evaluation of merged counts against the objectives."""

from collections.abc import Iterable
from typing import NamedTuple

from rattanlug.model import objective
from rattanlug.slo import burn, matching, merged, snapshot


class Evaluation(NamedTuple):
    """Burn rates of one organisation on one route.

    Attributes
    ----------
    series : merged.MergedSeries
    objective : objective.Objective or None
    rates : tuple of burn.BurnRate
        Empty without an objective.
    """

    series: merged.MergedSeries
    objective: objective.Objective | None
    rates: tuple[burn.BurnRate, ...]

    @property
    def severity(self) -> str:
        """``page``, ``ticket`` or ``ok``; ``-`` without an objective."""
        if self.objective is None:
            return "-"
        fired = (each.window.severity for each in self.rates if each.fires)
        return next(fired, "ok")

    @property
    def urgency(self) -> float:
        """Highest burn rate relative to its threshold."""
        return max(
            (min(each.short, each.long) / each.window.threshold for each in self.rates),
            default=-1.0,
        )


def evaluate(
    snapshots: Iterable[snapshot.Snapshot],
    objectives: Iterable[objective.Objective],
) -> list[Evaluation]:
    """Evaluate every organisation and route with requests, the most urgent first."""
    all_objectives = tuple(objectives)
    result = []
    for each in merged.merge(snapshots):
        found = matching.find_objective(all_objectives, each.organisation, each.route)
        rates = burn.burn_rates(each.windows, found) if found else ()
        result.append(Evaluation(each, found, rates))
    return sorted(result, key=lambda each: -each.urgency)
