"""Limits how fast requests move from one region to another."""

import math
from collections.abc import Callable

# Time constant of the present share of each region. A share may grow by the used part
# of the bound in this time, which is also the window of the bound.
WINDOW_SECONDS = 2.0
# Part of the bound that one VM uses; the rest covers the chance of single requests and
# changes of the traffic's mix over the VMs.
USED_SHARE = 0.5
# With fewer requests in the window, shares say nothing.
LEAST_REQUESTS = 12.0
# Requests by which a region may be ahead of its share.
MOST_CREDIT = 2.0


class RegionShift:
    """Lets the share of each region grow by a bounded amount in a time.

    Each request adds the allowed share of a region to its credit, and one that runs
    there takes one away, so that a growing share comes evenly and not in pulses.

    Parameters
    ----------
    bound : float
        Share of the requests that may change region from one window to the next.
    """

    def __init__(self, bound: float) -> None:
        self._growth = USED_SHARE * bound
        self._weights: dict[str, float] = {}
        self._credits: dict[str, float] = {}
        self._updated_at = 0.0

    def allowed_regions(self, now: float) -> Callable[[str], bool]:
        """Return a function that tells whether a request may run in a region."""
        self._decay(now)
        if sum(self._weights.values()) < LEAST_REQUESTS:
            return lambda region: True
        return lambda region: self._credits.get(region, MOST_CREDIT) >= 1.0

    def count(self, region: str, now: float) -> None:
        """Count a request that was sent to a region."""
        self._decay(now)
        self._weights.setdefault(region, 0.0)
        total = sum(self._weights.values())
        for each, weight in self._weights.items():
            share = weight / total if total > 0.0 else 0.0
            earned = self._credits.get(each, MOST_CREDIT) + share + self._growth
            self._credits[each] = min(earned, MOST_CREDIT)
        self._weights[region] += 1.0
        self._credits[region] = max(-MOST_CREDIT, self._credits[region] - 1.0)

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._updated_at) / WINDOW_SECONDS)
        self._updated_at = now
        for region in self._weights:
            self._weights[region] *= factor
