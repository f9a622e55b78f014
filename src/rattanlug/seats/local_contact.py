"""Contact of a VM with the other VMs of its data centre."""

import math

CONTACT_S = 2.0


class LocalContact:
    """Tracks since when a recent gossip response has been at hand at every moment."""

    def __init__(self):
        self._asked_at = -math.inf
        self._unbroken_from = math.inf

    def record(self, asked_at: float, now: float) -> None:
        """Record a gossip response from another VM of the own data centre.

        Parameters
        ----------
        asked_at : float
            Moment just before the request was sent.
        now : float
        """
        if now - self._asked_at > CONTACT_S:
            self._unbroken_from = now
        self._asked_at = max(self._asked_at, asked_at)

    def unbroken_since(self, moment: float, now: float) -> bool:
        """Return whether a response was at most 2 s old at every moment since."""
        return self._unbroken_from <= moment and now - self._asked_at <= CONTACT_S
