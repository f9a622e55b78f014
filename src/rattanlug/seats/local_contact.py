"""Contact of a VM with the other VMs of its data centre."""

import math

CONTACT_S = 2.0


class LocalContact:
    """Tracks since when the VM has always had a gossip response at most 2 s old."""

    def __init__(self):
        self._asked_at = -math.inf
        self._continuous_from = math.inf

    def record(self, asked_at: float, now: float) -> None:
        """Record a gossip response from another VM of the same data centre.

        Parameters
        ----------
        asked_at : float
            Time just before the request was sent.
        now : float
        """
        if now - self._asked_at > CONTACT_S:
            self._continuous_from = now
        self._asked_at = max(self._asked_at, asked_at)

    def continuous_since(self, since: float, now: float) -> bool:
        """Return whether there was always a response at most 2 s old since a time."""
        return self._continuous_from <= since and now - self._asked_at <= CONTACT_S
