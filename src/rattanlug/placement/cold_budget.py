"""Part of the requests that a cold upstream tolerates that one VM may send."""

import collections
import math

# Arrivals are counted, not sends: requests that were sent over more than a second may
# arrive within one.
WINDOW_SECONDS = 1.2
# Part of the bound that is used; the rest covers VMs that are not known yet.
USED_SHARE = 0.8


class ColdBudget:
    """Counts sends to one cold upstream over a sliding second."""

    def __init__(self) -> None:
        self._sends: collections.deque[float] = collections.deque()

    def allows(self, bound: float, vms: int, now: float) -> bool:
        """Tell whether one more send stays within this VM's part.

        Parameters
        ----------
        bound : float
            Requests in one second, from all VMs together.
        vms : int
            Number of VMs that send to this upstream.
        now : float
            Seconds.
        """
        while self._sends and self._sends[0] <= now - WINDOW_SECONDS:
            self._sends.popleft()
        return len(self._sends) < math.floor(USED_SHARE * bound / max(1, vms))

    def count(self, now: float) -> None:
        """Count a send."""
        self._sends.append(now)
