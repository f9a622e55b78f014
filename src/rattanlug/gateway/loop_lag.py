"""Measures how late the event loop runs timers."""

import trio

from rattanlug.daemon import clock

INTERVAL_SECONDS = 0.1
# Decay of a measured lag.
HALF_LIFE_SECONDS = 0.1
# Slower decay for the lag that other VMs see, since callers cache look-ups for seconds.
RECENT_HALF_LIFE_SECONDS = 2.0
# A VM counts as overloaded above this recent lag.
OVERLOAD_LAG_SECONDS = 0.1


class LoopLag:
    """Lag of the event loop, which rises when the processor is overloaded."""

    def __init__(self) -> None:
        self._lag = 0.0
        self._recent = 0.0
        self._measured_at = 0.0

    def record(self, late: float, now: float) -> None:
        """Record how late a timer ran, seconds."""
        self._recent = max(late, self._recent_seconds(now))
        self._lag = max(late, self.seconds(now))
        self._measured_at = now

    def seconds(self, now: float) -> float:
        """Return the current lag, seconds."""
        elapsed = max(0.0, now - self._measured_at)
        return self._lag * 0.5 ** (elapsed / HALF_LIFE_SECONDS)

    def overloaded(self, now: float) -> bool:
        """Tell whether the loop lagged in the last few seconds."""
        return self._recent_seconds(now) > OVERLOAD_LAG_SECONDS

    def _recent_seconds(self, now: float) -> float:
        elapsed = max(0.0, now - self._measured_at)
        return self._recent * 0.5 ** (elapsed / RECENT_HALF_LIFE_SECONDS)

    async def run(self) -> None:
        """Measure the lag until cancelled."""
        while True:
            expected = clock.now() + INTERVAL_SECONDS
            await trio.sleep(INTERVAL_SECONDS)
            now = clock.now()
            self.record(max(0.0, now - expected), now)
