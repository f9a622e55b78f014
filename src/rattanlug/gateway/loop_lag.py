"""Measures how late the event loop runs what is due."""

import trio

from rattanlug.daemon import clock

INTERVAL_SECONDS = 0.1
# A lag loses half of its weight in this time.
HALF_LIFE_SECONDS = 0.1


class LoopLag:
    """Delay of the event loop, which rises when the processor is overloaded."""

    def __init__(self) -> None:
        self._lag = 0.0
        self._measured_at = 0.0

    def note(self, late: float, now: float) -> None:
        """Take by how much a timer was late, seconds."""
        self._lag = max(late, self.seconds(now))
        self._measured_at = now

    def seconds(self, now: float) -> float:
        """Return the present delay, seconds."""
        elapsed = max(0.0, now - self._measured_at)
        return self._lag * 0.5 ** (elapsed / HALF_LIFE_SECONDS)

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = clock.now() + INTERVAL_SECONDS
            await trio.sleep(INTERVAL_SECONDS)
            now = clock.now()
            self.note(max(0.0, now - due), now)
