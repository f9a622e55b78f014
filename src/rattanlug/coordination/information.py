"""The newest information from one source."""

import math


class Information:
    """Moments at which a source was known to be at a configuration version.

    A moment counts only once this VM has applied that version: before that it holds
    older rules than the source.
    """

    def __init__(self):
        self._moment = -math.inf
        self._pending: dict[int, float] = {}

    @property
    def moment(self) -> float:
        """Newest moment that counts, on the VM's own clock."""
        return self._moment

    def observe(self, moment: float, version: int, applied: int) -> None:
        """Record that the source was at a version at a moment."""
        newest = max(moment, self._pending.get(version, -math.inf))
        self._pending[version] = newest
        self.advance(applied)

    def advance(self, applied: int) -> None:
        """Count what was observed of versions up to the one that is applied."""
        for version in [v for v in self._pending if v <= applied]:
            self._moment = max(self._moment, self._pending.pop(version))
