"""Limit on the requests that one VM sends to a cold upstream.

An upstream is cold while it warms up after its start. It then tolerates only a low
request rate, which is divided among the VMs that send to it.
"""

import collections
import math

# The limit applies to arrivals in 1 s. Requests that were sent over slightly more than
# 1 s may arrive within 1 s, so sends are counted over a longer window.
WINDOW_SECONDS = 1.2
# Part of the limit that is used; the rest covers VMs that this VM doesn't know yet.
SAFETY_FACTOR = 0.8


class ColdBudget:
    """Limits the requests sent to one cold upstream in a sliding window."""

    def __init__(self) -> None:
        self._sends: collections.deque[float] = collections.deque()

    def is_unused(self, now: float) -> bool:
        """Tell whether nothing was sent within the window."""
        return not self._sends or self._sends[-1] <= now - WINDOW_SECONDS

    def allows(self, bound: float, vms: float, now: float) -> bool:
        """Tell whether one more request stays within this VM's share of the limit.

        Parameters
        ----------
        bound : float
            Limit on the requests per second of all VMs together.
        vms : int
            Number of VMs that may send to this upstream.
        now : float
            Time on the VM's monotonic clock, seconds.
        """
        self._expire(now)
        share = math.floor(SAFETY_FACTOR * bound / max(1, vms))
        if vms + 1 <= bound:
            # Stays within the limit even if there is one VM more than is known.
            share = max(1, share)
        return len(self._sends) < share

    def count(self, now: float) -> None:
        """Count a request that is sent."""
        self._expire(now)
        self._sends.append(now)

    def uncount(self, counted_at: float) -> None:
        """Remove a request that was counted at a time and not sent then."""
        if counted_at in self._sends:
            self._sends.remove(counted_at)

    def _expire(self, now: float) -> None:
        while self._sends and self._sends[0] <= now - WINDOW_SECONDS:
            self._sends.popleft()
