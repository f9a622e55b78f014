"""Limits how fast traffic shifts from one region to another."""

import math
from collections.abc import Callable

# Time constant of the moving average of each region's share, and window of the limit:
# a share may grow by SAFETY_FACTOR times the limit in this time.
WINDOW_SECONDS = 2.0
# Part of the limit that one VM uses; the rest covers random variation and changes of
# how the traffic is distributed over the VMs.
SAFETY_FACTOR = 0.5
# With fewer requests in the window, the shares are not significant and not limited.
MIN_REQUESTS = 12.0
# Maximum credit of a region: requests by which it may be ahead of its share.
MAX_CREDIT = 2.0


class RegionShiftLimiter:
    """Bounds the growth of each region's share of the requests.

    Each request adds the allowed share of a region to the region's credit, and each
    request that is sent there costs one credit. A growing share is thereby spread
    evenly over the requests instead of coming in bursts.

    Parameters
    ----------
    bound : float
        Share of the requests that may change region from one window to the next.
    """

    def __init__(self, bound: float) -> None:
        self.set_bound(bound)
        # Requests of the window, with weights that decay, and credits, by region.
        self._weights: dict[str, float] = {}
        self._credits: dict[str, float] = {}
        self._updated_at = 0.0

    def set_bound(self, bound: float) -> None:
        """Replace the bound; see the class."""
        self._growth = SAFETY_FACTOR * bound

    def allowed_regions(self, now: float) -> Callable[[str], bool]:
        """Return a predicate that tells whether a request may be sent to a region."""
        self._decay(now)
        if sum(self._weights.values()) < MIN_REQUESTS:
            return lambda region: True
        return lambda region: self._credits.get(region, MAX_CREDIT) >= 1.0

    def count(self, region: str, now: float) -> None:
        """Count a request that was sent to a region."""
        self._decay(now)
        self._weights.setdefault(region, 0.0)
        total = sum(self._weights.values())
        for each, weight in self._weights.items():
            share = weight / total if total > 0.0 else 0.0
            earned = self._credits.get(each, MAX_CREDIT) + share + self._growth
            self._credits[each] = min(earned, MAX_CREDIT)
        self._weights[region] += 1.0
        self._credits[region] = max(-MAX_CREDIT, self._credits[region] - 1.0)

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._updated_at) / WINDOW_SECONDS)
        self._updated_at = now
        for region in self._weights:
            self._weights[region] *= factor
