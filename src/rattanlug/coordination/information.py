"""Time of the newest information from one source."""

import math


class Information:
    """Newest time at which a source had a configuration version that this VM has.

    The source is a data centre or the head row of the platform. Times are seconds on
    this VM's monotonic clock.

    A time is used only once this VM has applied the version that the source had: before
    that, its rules are older than those of the source.
    """

    def __init__(self):
        self._moment = -math.inf
        self._pending: dict[int, float] = {}

    @property
    def moment(self) -> float:
        """Newest time at which the source had a version that this VM has applied."""
        return self._moment

    def observe(self, moment: float, version: int, applied: int) -> None:
        """Record that the source had a version at a time.

        Parameters
        ----------
        moment : float
            Time at which the source had the version.
        version : int
            Configuration version that the source had.
        applied : int
            Version that this VM has applied.
        """
        newest = max(moment, self._pending.get(version, -math.inf))
        self._pending[version] = newest
        self.advance(applied)

    def advance(self, applied: int) -> None:
        """Take the recorded times of versions up to the applied one into ``moment``."""
        for version in [v for v in self._pending if v <= applied]:
            self._moment = max(self._moment, self._pending.pop(version))
