"""Latest known read of the configuration head from the platform."""

import math

from rattanlug.coordination import information


class PlatformEvidence:
    """Time of the latest known read of the configuration head, by any VM.

    The head is the store's row with the newest configuration version. All times are
    seconds on this VM's monotonic clock.
    """

    def __init__(self):
        self._information = information.Information()
        self._applied_version = 0

    def apply(self, version: int) -> None:
        """Record the configuration version that this VM has applied."""
        self._applied_version = max(self._applied_version, version)
        self._information.advance(self._applied_version)

    def observe_read(self, asked_at: float, version: int) -> None:
        """Record a read of the head by this VM.

        Parameters
        ----------
        asked_at : float
            Time just before the request was sent.
        version : int
            Version in the head.
        """
        self._information.observe(asked_at, version, self._applied_version)

    def observe_peer(self, asked_at: float, age: float, version: int) -> None:
        """Record the latest read that a peer reports.

        Parameters
        ----------
        asked_at : float
            Time just before the request to the peer was sent.
        age : float
            Age of the read, seconds; infinite if the peer knows of none.
        version : int
            Version in the read.
        """
        if age != math.inf:
            self._information.observe(asked_at - age, version, self._applied_version)

    def age(self, now: float) -> float:
        """Return the age of the latest read, seconds; infinite without any."""
        return now - self._information.moment
