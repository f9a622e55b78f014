"""Load and health of one upstream as seen by this VM."""

import math

from rattanlug.placement import recent_objects

# A load report loses half of its weight in this time, since other VMs' requests start
# and finish within a fraction of a second.
REPORT_HALF_LIFE_SECONDS = 0.6
# Weight of a new measurement in the moving average of the slowdown.
SLOWDOWN_SMOOTHING = 0.25
# Without new measurements, the excess of the slowdown over 1 halves in this time, so
# that a slow upstream is tried again.
SLOWDOWN_HALF_LIFE_SECONDS = 4.0
# Weight of a new outcome in the moving average of the failures.
FAILURE_SMOOTHING = 0.15
FAILURE_HALF_LIFE_SECONDS = 3.0
# Backoff after a failed connection; it doubles with each further failure.
INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
# A request is overdue after this multiple of its expected service time without any
# response of the upstream.
OVERDUE_RATIO = 2.0


class UpstreamLoad:
    """Tracks load, speed, failures and cached objects of one upstream process.

    Parameters
    ----------
    slots : int
        Requests that the upstream runs at the same time.
    now : float
        Time on the VM's monotonic clock, seconds.
    """

    def __init__(self, slots: int, now: float) -> None:
        self._slots = slots
        # Time of sending and expected service time of each request, by token.
        self._sent: dict[int, tuple[float, float]] = {}
        self._next_token = 0
        self._others_in_flight = 0.0
        self._reported_at = now
        self._has_report = False
        self._slowdown = 1.0
        self._slowdown_at = now
        self._failures = 0.0
        self._failures_at = now
        self._backoff = INITIAL_BACKOFF_SECONDS
        self._backoff_until = -math.inf
        self._answers = 0
        self._last_answer_at = now
        self._objects = recent_objects.RecentObjects()

    @property
    def slots(self) -> int:
        """Requests that the upstream runs at the same time."""
        return self._slots

    @property
    def in_flight(self) -> int:
        """Requests of this VM that the upstream has not responded to."""
        return len(self._sent)

    @property
    def answers(self) -> int:
        """Number of responses received."""
        return self._answers

    @property
    def objects(self) -> recent_objects.RecentObjects:
        """Objects that the upstream is likely to have cached."""
        return self._objects

    def busy(self, now: float, unreported: float = 0.0) -> float:
        """Return the estimated number of requests of all VMs that run or wait.

        Parameters
        ----------
        now : float
            Time on the VM's monotonic clock, seconds.
        unreported : float
            Requests of the other VMs to assume until the first report.
        """
        if not self._has_report:
            return self.in_flight + unreported
        elapsed = now - self._reported_at
        return self.in_flight + self._others_in_flight * 0.5 ** (
            elapsed / REPORT_HALF_LIFE_SECONDS
        )

    def slowdown(self, now: float) -> float:
        """Return the factor by which the upstream is slower than others."""
        elapsed = now - self._slowdown_at
        return 1.0 + (self._slowdown - 1.0) * 0.5 ** (
            elapsed / SLOWDOWN_HALF_LIFE_SECONDS
        )

    def failure_share(self, now: float) -> float:
        """Return the estimated share of requests that fail."""
        elapsed = now - self._failures_at
        return self._failures * 0.5 ** (elapsed / FAILURE_HALF_LIFE_SECONDS)

    def silence(self, now: float) -> float:
        """Return for how long overdue requests have waited for any response, seconds.

        The time counts from the last response; 0 if no request is overdue.
        """
        since_answer = now - self._last_answer_at
        longest = 0.0
        for sent_at, expected_seconds in self._sent.values():
            waited = min(now - sent_at, since_answer)
            if waited > longest and waited > OVERDUE_RATIO * expected_seconds:
                longest = waited
        return longest

    def is_paused(self, now: float) -> bool:
        """Tell whether the backoff after a failed connection is still running."""
        return now < self._backoff_until

    def begin(self, now: float, expected_seconds: float = 0.0) -> int:
        """Record that a request is sent; return the token to pass to `end`.

        Parameters
        ----------
        now : float
            Time on the VM's monotonic clock, seconds.
        expected_seconds : float
            Expected service time.
        """
        self._next_token += 1
        self._sent[self._next_token] = (now, expected_seconds)
        return self._next_token

    def end(self, token: int) -> None:
        """Record that a request has ended."""
        del self._sent[token]

    def note_report(self, busy: int, now: float) -> None:
        """Record the load that the upstream reported in a response.

        `end` must have been called for the request of that response.

        Parameters
        ----------
        busy : int
            Requests that run or wait at the upstream, without the one of the response.
        now : float
            Time on the VM's monotonic clock, seconds.
        """
        self._has_report = True
        self._others_in_flight = max(0.0, float(busy - self.in_flight))
        self._reported_at = now

    def note_answer(self, now: float) -> None:
        """Record a response of any status."""
        self._answers += 1
        self._last_answer_at = now
        self._backoff = INITIAL_BACKOFF_SECONDS

    def note_slowdown(self, ratio: float, now: float) -> None:
        """Record the ratio of a measured to the expected service time."""
        current = self.slowdown(now)
        bounded = min(max(ratio, 0.5), 10.0)
        self._slowdown = current + SLOWDOWN_SMOOTHING * (bounded - current)
        self._slowdown_at = now

    def note_outcome(self, failed: bool, now: float) -> None:
        """Record whether a request failed."""
        current = self.failure_share(now)
        self._failures = current + FAILURE_SMOOTHING * (float(failed) - current)
        self._failures_at = now

    def note_unreachable(self, now: float) -> None:
        """Record that a connection could not be opened or stopped responding."""
        if now < self._backoff_until:
            return
        self._backoff_until = now + self._backoff
        self._backoff = min(2.0 * self._backoff, MAX_BACKOFF_SECONDS)
