"""Measures how late the event loop runs what is due."""

import trio

from rattanlug.daemon import clock

INTERVAL_SECONDS = 0.1
# A lag loses half of its weight in this time.
HALF_LIFE_SECONDS = 0.1
# The same for what the other VMs are told, since callers keep look-ups for seconds.
RECENT_HALF_LIFE_SECONDS = 2.0
# Recent lag from which on a VM counts as overloaded, seconds.
OVERLOADED_SECONDS = 0.1


class LoopLag:
    """Delay of the event loop, which rises when the processor is overloaded."""

    def __init__(self) -> None:
        self._lag = 0.0
        self._recent = 0.0
        self._measured_at = 0.0

    def note(self, late: float, now: float) -> None:
        """Take by how much a timer was late, seconds."""
        self._recent = max(late, self._recent_seconds(now))
        self._lag = max(late, self.seconds(now))
        self._measured_at = now

    def seconds(self, now: float) -> float:
        """Return the present delay, seconds."""
        elapsed = max(0.0, now - self._measured_at)
        return self._lag * 0.5 ** (elapsed / HALF_LIFE_SECONDS)

    def overloaded(self, now: float) -> bool:
        """Tell whether the loop was late in the last seconds."""
        return self._recent_seconds(now) > OVERLOADED_SECONDS

    def _recent_seconds(self, now: float) -> float:
        elapsed = max(0.0, now - self._measured_at)
        return self._recent * 0.5 ** (elapsed / RECENT_HALF_LIFE_SECONDS)

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = clock.now() + INTERVAL_SECONDS
            await trio.sleep(INTERVAL_SECONDS)
            now = clock.now()
            self.note(max(0.0, now - due), now)
