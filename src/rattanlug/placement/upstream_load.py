"""What this VM knows about the load and the health of one upstream."""

import math

from rattanlug.placement import recent_objects

# A report of load loses half of its weight in this time, since other VMs' requests
# come and go within a fraction of a second.
REPORT_HALF_LIFE_SECONDS = 0.6
# Weight of one measured slowdown.
SLOWDOWN_SMOOTHING = 0.25
# An upstream without measurements is taken to be as fast as others after this time.
SLOWDOWN_HALF_LIFE_SECONDS = 4.0
# Weight of one outcome in the share of failures.
FAILURE_SMOOTHING = 0.15
FAILURE_HALF_LIFE_SECONDS = 3.0
# Pause after a failed connection; doubles with each further one.
FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 4.0


class UpstreamLoad:
    """Load, speed, failures and objects of one start of one upstream.

    Parameters
    ----------
    slots : int
    now : float
        Seconds.
    """

    def __init__(self, slots: int, now: float) -> None:
        self._slots = slots
        self._sent_at: dict[int, float] = {}
        self._next_token = 0
        self._others = 0.0
        self._others_at = now
        self._reported = False
        self._slowdown = 1.0
        self._slowdown_at = now
        self._failures = 0.0
        self._failures_at = now
        self._pause = FIRST_PAUSE_SECONDS
        self._paused_until = -math.inf
        self._answers = 0
        self._last_answer_at = now
        self._objects = recent_objects.RecentObjects()

    @property
    def slots(self) -> int:
        """Requests that run at the same time."""
        return self._slots

    @property
    def in_flight(self) -> int:
        """Requests of this VM that the upstream has not answered."""
        return len(self._sent_at)

    @property
    def answers(self) -> int:
        """Answers so far."""
        return self._answers

    @property
    def objects(self) -> recent_objects.RecentObjects:
        """Objects that are likely to be warm."""
        return self._objects

    def busy(self, now: float, unreported: float = 0.0) -> float:
        """Return the estimated requests that run or wait, of all VMs.

        Parameters
        ----------
        now : float
            Seconds.
        unreported : float
            Requests of the other VMs that are assumed until the first report.
        """
        if not self._reported:
            return self.in_flight + unreported
        elapsed = now - self._others_at
        return self.in_flight + self._others * 0.5 ** (
            elapsed / REPORT_HALF_LIFE_SECONDS
        )

    def slowdown(self, now: float) -> float:
        """Return by what factor the upstream is slower than others."""
        elapsed = now - self._slowdown_at
        return 1.0 + (self._slowdown - 1.0) * 0.5 ** (
            elapsed / SLOWDOWN_HALF_LIFE_SECONDS
        )

    def failure_share(self, now: float) -> float:
        """Return the estimated share of requests that fail."""
        elapsed = now - self._failures_at
        return self._failures * 0.5 ** (elapsed / FAILURE_HALF_LIFE_SECONDS)

    def silence(self, now: float) -> float:
        """Return for how long requests wait without any answer, seconds."""
        if not self._sent_at:
            return 0.0
        return now - max(min(self._sent_at.values()), self._last_answer_at)

    def is_paused(self, now: float) -> bool:
        """Tell whether the upstream is left alone after a failed connection."""
        return now < self._paused_until

    def begin(self, now: float) -> int:
        """Note a request; return the token that ends it."""
        self._next_token += 1
        self._sent_at[self._next_token] = now
        return self._next_token

    def end(self, token: int) -> None:
        """Note that a request is over."""
        del self._sent_at[token]

    def note_report(self, busy: int, now: float) -> None:
        """Take the upstream's own count, which came with an answer.

        Parameters
        ----------
        busy : int
            Requests that run or wait there, without the one that was answered.
        now : float
            Seconds; the request that was answered has ended here.
        """
        self._reported = True
        self._others = max(0.0, float(busy - self.in_flight))
        self._others_at = now

    def note_answer(self, now: float) -> None:
        """Note that the upstream answered, whatever it said."""
        self._answers += 1
        self._last_answer_at = now
        self._pause = FIRST_PAUSE_SECONDS

    def note_slowdown(self, ratio: float, now: float) -> None:
        """Take the ratio of a measured to the expected time."""
        present = self.slowdown(now)
        bounded = min(max(ratio, 0.5), 10.0)
        self._slowdown = present + SLOWDOWN_SMOOTHING * (bounded - present)
        self._slowdown_at = now

    def note_outcome(self, failed: bool, now: float) -> None:
        """Take whether a request failed."""
        present = self.failure_share(now)
        self._failures = present + FAILURE_SMOOTHING * (float(failed) - present)
        self._failures_at = now

    def note_unreachable(self, now: float) -> None:
        """Note that no connection could be opened, or that one went silent."""
        if now < self._paused_until:
            return
        self._paused_until = now + self._pause
        self._pause = min(2.0 * self._pause, LONGEST_PAUSE_SECONDS)
