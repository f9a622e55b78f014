"""Measures how much of the time the event loop runs tasks instead of waiting."""

from collections.abc import Callable

import trio

from rattanlug.daemon import clock

# Callers cache look-ups for seconds, so an average that reacts faster would make them
# oscillate between VMs.
HALF_LIFE_SECONDS = 0.7
# A loop that is busy for this share of the time has little headroom for bursts.
BUSY_ENTER_SHARE = 0.65
# Hysteresis: while a VM counts as busy, about half of its callers use other VMs. They
# would all return at once if the threshold for leaving the state were as high as the
# one for entering it.
BUSY_EXIT_SHARE = 0.3
# A poll that finds a socket ready takes tens of microseconds; a poll that takes longer
# than this had to wait for one.
MAX_POLL_SECONDS = 0.0005
# Shorter iterations are not worth the cost of recording them.
MIN_RECORDED_SECONDS = 0.005


class LoopUtilisation(trio.abc.Instrument):
    """Share of the time in which the event loop is busy, and its iterations.

    Unlike the delay of timers, the share shows a rising load before requests queue. An
    iteration lasts from one poll of the sockets to the next.

    Parameters
    ----------
    on_long_iteration : callable, optional
        Called with the duration of each long iteration, seconds.
    """

    def __init__(
        self, on_long_iteration: Callable[[float], None] = lambda seconds: None
    ) -> None:
        self._on_long_iteration = on_long_iteration
        self._busy_share = 0.0
        self._is_busy = False
        self._waiting_since = 0.0
        # Start of the current iteration, 0 before the first one.
        self._running_since = 0.0
        self._earliest_ready_at = clock.now()
        self._iterations = 0

    @property
    def busy_share(self) -> float:
        """Share of recent time in which the loop was busy, 0 to 1."""
        return self._busy_share

    @property
    def is_busy(self) -> bool:
        """Whether the loop has little headroom, with hysteresis."""
        return self._is_busy

    @property
    def earliest_ready_at(self) -> float:
        """Lower bound of when a socket that is ready now became ready, seconds.

        A socket found ready by one poll was not ready at the poll before it.
        """
        return self._earliest_ready_at

    @property
    def polled_at(self) -> float:
        """Time at which the last poll of the sockets began or ended, seconds.

        A signal whose handler runs now was sent after it: the handlers of earlier
        signals have run by then, even if the process was not scheduled since.
        """
        return max(self._waiting_since, self._running_since)

    @property
    def iterations(self) -> int:
        """Number of iterations so far."""
        return self._iterations

    def iteration_seconds(self, now: float) -> float:
        """Return how long the current iteration has been running, seconds.

        Requests that arrived during the iteration may have waited as long. The lag of a
        timer would show this delay too late: the timer runs only after the iteration,
        when all of these requests have already been accepted.
        """
        return max(0.0, now - self._running_since) if self._running_since else 0.0

    def record(self, ran_for: float, waited_for: float) -> None:
        """Record how long the loop ran tasks and then waited, seconds."""
        total = ran_for + waited_for
        if total <= 0.0:
            return
        decay = 0.5 ** (total / HALF_LIFE_SECONDS)
        self._busy_share = decay * self._busy_share + (1.0 - decay) * ran_for / total
        threshold = BUSY_EXIT_SHARE if self._is_busy else BUSY_ENTER_SHARE
        self._is_busy = self._busy_share > threshold

    def before_io_wait(self, timeout: float) -> None:
        """Record the start of a poll."""
        self._waiting_since = clock.now()

    def after_io_wait(self, timeout: float) -> None:
        """Record the end of a poll and the start of the next iteration."""
        now = clock.now()
        waited_for = now - self._waiting_since
        if timeout > 0.0 and waited_for > MAX_POLL_SECONDS:
            # A socket has just become ready or a timer has expired; waiting for longer
            # than the timeout means that the process was not scheduled.
            self._earliest_ready_at = now - max(0.0, waited_for - timeout)
        elif self._running_since:
            self._earliest_ready_at = self._running_since
        if self._running_since:
            ran_for = self._waiting_since - self._running_since
            self.record(ran_for, waited_for)
            if ran_for > MIN_RECORDED_SECONDS:
                self._on_long_iteration(ran_for)
        self._running_since = now
        self._iterations += 1
