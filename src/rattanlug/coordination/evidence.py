"""Evidence that the configuration head was read from the platform."""

import math

from rattanlug.coordination import information


class PlatformEvidence:
    """Latest moment at which the configuration head is known to have been read."""

    def __init__(self):
        self._information = information.Information()
        self._applied = 0

    def apply(self, version: int) -> None:
        """Note the configuration version that this VM has applied."""
        self._applied = max(self._applied, version)
        self._information.advance(self._applied)

    def observe_read(self, asked_at: float, version: int) -> None:
        """Record an own read of the head.

        Parameters
        ----------
        asked_at : float
            Moment just before the request was sent.
        version : int
            Version that the head names.
        """
        self._information.observe(asked_at, version, self._applied)

    def observe_peer(self, asked_at: float, age: float, version: int) -> None:
        """Record the evidence that a peer reports.

        Parameters
        ----------
        asked_at : float
            Moment just before this VM asked the peer.
        age : float
            Age that the peer reports, seconds; infinite without evidence.
        version : int
            Version that the peer's evidence is based on.
        """
        if age != math.inf:
            self._information.observe(asked_at - age, version, self._applied)

    def age(self, now: float) -> float:
        """Return the age of the evidence, infinite without any."""
        return now - self._information.moment
