"""Burn rates of an error budget."""

from collections.abc import Mapping
from typing import NamedTuple

from rattanlug.model import objective
from rattanlug.slo import counts, windows


class BurnRate(NamedTuple):
    """Burn rates over one pair of windows.

    Attributes
    ----------
    window : windows.BurnWindow
    short, long : float
        Share of bad requests divided by the share that the objective allows; 0
        without requests.
    """

    window: windows.BurnWindow
    short: float
    long: float

    @property
    def fires(self) -> bool:
        """Whether both windows reach the threshold."""
        return min(self.short, self.long) >= self.window.threshold


def burn_rate(counted: counts.Counts, target: float) -> float:
    """Return the share of bad requests divided by the allowed share."""
    if not counted.total:
        return 0.0
    return counted.bad / counted.total / (1 - target)


def burn_rates(
    counted: Mapping[int, counts.Counts], matching_objective: objective.Objective
) -> tuple[BurnRate, ...]:
    """Return the burn rate of each pair of windows.

    Parameters
    ----------
    counted : Mapping
        Counts by window length in seconds.
    matching_objective : objective.Objective

    Returns
    -------
    tuple of BurnRate
        In the order of ``windows.BURN_WINDOWS``, the fastest first.
    """
    return tuple(
        BurnRate(
            window,
            burn_rate(counted[window.short_s], matching_objective.target),
            burn_rate(counted[window.long_s], matching_objective.target),
        )
        for window in windows.BURN_WINDOWS
    )
