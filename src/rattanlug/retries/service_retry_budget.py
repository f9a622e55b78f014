"""Retry budget of one service; each VM holds a part of the fleet's budget."""

import collections

# Part of the limit that is used; the rest covers windows of the VMs that don't align.
SAFETY_FACTOR = 0.7


class ServiceRetryBudget:
    """Limits the retries of a service in a sliding window.

    All VMs together may send a ratio of the requests as retries, plus a constant
    number. Each VM applies the ratio to its own requests and gets an equal part of the
    constant.

    Parameters
    ----------
    ratio : float
        Retries per request.
    slack : float
        Additional retries of all VMs together per window.
    window : float
        Length of the window, seconds.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.set_limits(ratio, slack, window)
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def set_limits(self, ratio: float, slack: float, window: float) -> None:
        """Replace the limits; see the class."""
        self._ratio = ratio
        self._slack = slack
        self._window = window

    def count_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def try_retry(self, vms: int, now: float) -> bool:
        """Take one retry from the budget; return False if none is left.

        Parameters
        ----------
        vms : int
            Number of VMs that share the slack.
        now : float
            Time on the VM's monotonic clock, seconds.
        """
        self._expire(now)
        limit = self._ratio * len(self._requests) + self._slack / max(1, vms)
        if len(self._retries) + 1 > SAFETY_FACTOR * limit:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self._window
        for times in (self._requests, self._retries):
            while times and times[0] < oldest:
                times.popleft()
