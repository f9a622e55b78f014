"""Part of one VM of the fleet's budget of repeated sends for a service."""

import collections

# Part of the bound that is used; the rest covers windows that do not line up.
USED_SHARE = 0.7


class ServiceRetryBudget:
    """Counts requests and repeated sends over a sliding window.

    The bound of all VMs together is a ratio of the requests, which each VM keeps for
    its own, plus a constant, of which each gets an even part.

    Parameters
    ----------
    ratio : float
        Repeated sends for each request.
    slack : float
        Repeated sends on top, over all VMs.
    window : float
        Seconds.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def count_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def try_retry(self, vms: int, now: float) -> bool:
        """Take one repeated send if the budget has one.

        Parameters
        ----------
        vms : int
            Number of VMs that share the constant part.
        now : float
            Seconds.
        """
        self._expire(now)
        bound = self._ratio * len(self._requests) + self._slack / max(1, vms)
        if len(self._repeats) + 1 > USED_SHARE * bound:
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self._window
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
