"""Health, load and leaving state of one upstream, as this VM sees it."""

import enum

from rattanlug.routing import load_report, upstream_view

REPORT_LIFETIME_SECONDS = 3.0
# Weight of the newest answer in the averages.
AVERAGE_GAIN = 0.2
# An average that no answer refreshed for this long says nothing about the present.
AVERAGE_LIFETIME_SECONDS = 10.0
# With service times that vary by a factor of 1.5, 1 in 25 requests takes longer than
# twice the average.
SUSPECT_FACTOR = 1.6
FAILURES_TO_EJECT = 3
FIRST_EJECTION_SECONDS = 2.0
LONGEST_EJECTION_SECONDS = 30.0
RAMP_SECONDS = 10.0
RAMP_FLOOR = 0.1
# Caches warm up with requests, not with time: at a small share of the traffic an
# upstream is still cold after minutes. Counted per VM; the fleet sends several times
# as many.
WARM_ANSWERS = 20
# A report below this VM's own in-flight count is wrong; a report that was right for a
# while may be trusted again.
DISTRUST_SECONDS = 30.0


class LeavingSource(enum.Enum):
    """Where this VM learnt that an upstream is leaving."""

    REPORT = "report"
    RULE = "rule"
    PLATFORM = "platform"


class UpstreamState:
    """State of one upstream.

    Parameters
    ----------
    now : float
        Seconds.
    cold : bool
        True for an upstream that just started: its share of work grows over 10 s.
    """

    def __init__(self, now: float, *, cold: bool = False):
        self._ramp_from: float | None = now if cold else None
        self._answers_until_warm = WARM_ANSWERS if cold else 0
        self._latency: float | None = None
        self._last_answer = float("-inf")
        self._error_share = 0.0
        self._failures_in_row = 0
        self._ejections = 0
        self._ejected_until = float("-inf")
        self._signs: dict[LeavingSource, float] = {}
        self._report: load_report.LoadReport | None = None
        self._reported_at = float("-inf")
        self._distrusted_until = float("-inf")
        self._started: dict[int, float] = {}
        self._next_request = 0

    @property
    def cold(self) -> bool:
        """True until the upstream has answered 20 requests since it started.

        Slow answers of cold upstreams are judged more leniently during a move.
        """
        return self._answers_until_warm > 0

    @property
    def in_flight(self) -> int:
        """Requests of this VM that the upstream works on."""
        return len(self._started)

    @property
    def error_share(self) -> float:
        """Average share of failed requests among this VM's own."""
        return self._error_share

    @property
    def leaving_since(self) -> float | None:
        """Moment of the earliest sign that stands, seconds; None without one."""
        return min(self._signs.values(), default=None)

    def start(self, now: float) -> int:
        """Count a request that is sent; the result identifies it in ``finish``."""
        self._next_request += 1
        self._started[self._next_request] = now
        return self._next_request

    def finish(
        self, request: int, now: float, *, failed: bool, abandoned: bool = False
    ) -> None:
        """Count the end of a request.

        Parameters
        ----------
        request : int
            Result of ``start``.
        now : float
            Seconds.
        failed : bool
            True for a broken connection, a timeout or a 5xx answer.
        abandoned : bool
            True when the caller gave up: it says nothing about the upstream's health,
            but its time so far is a lower bound of the latency.
        """
        latency = now - self._started.pop(request)
        if not abandoned or latency > (self._latency or 0.0):
            self._last_answer = now
            if self._latency is None:
                self._latency = latency
            else:
                self._latency += AVERAGE_GAIN * (latency - self._latency)
        if abandoned:
            return
        self._answers_until_warm = max(0, self._answers_until_warm - 1)
        self._error_share += AVERAGE_GAIN * (failed - self._error_share)
        if not failed:
            self._failures_in_row = 0
            if self.weight(now) >= 1.0:
                self._ejections = 0
            return
        self._failures_in_row += 1
        if self._failures_in_row >= FAILURES_TO_EJECT and now >= self._ejected_until:
            length = min(
                FIRST_EJECTION_SECONDS * 2**self._ejections, LONGEST_EJECTION_SECONDS
            )
            self._ejections += 1
            self._ejected_until = now + length
            self._ramp_from = now + length
            # One failed trial request after the pause ejects it again.
            self._failures_in_row = FAILURES_TO_EJECT - 1

    def receive_report(self, report: load_report.LoadReport, asked_at: float) -> None:
        """Take a report; it counts from just before the upstream was asked."""
        if asked_at < self._reported_at:
            return
        sent_before = sum(1 for start in self._started.values() if start < asked_at)
        if report.in_flight < sent_before - 1:
            self._distrusted_until = asked_at + DISTRUST_SECONDS
        self._report, self._reported_at = report, asked_at
        self.set_leaving(LeavingSource.REPORT, report.draining, asked_at)

    def set_leaving(self, sign: LeavingSource, leaving: bool, now: float) -> None:
        """Set or clear one sign; the moment of a sign that stands is kept."""
        if leaving:
            self._signs.setdefault(sign, now)
        elif self._signs.pop(sign, None) is not None and not self._signs:
            self._ramp_from = now

    def start_cold(self, now: float) -> None:
        """Note that the upstream restarted or changed its version."""
        self._ramp_from = now
        self._answers_until_warm = WARM_ANSWERS
        self._latency = None

    def accepts_work(self, now: float) -> bool:
        """Tell whether new requests may go to the upstream."""
        return not self._signs and not self.ejected(now)

    def ejected(self, now: float) -> bool:
        """Tell whether the upstream is left out after failures in a row."""
        return now < self._ejected_until

    def suspect(self, now: float) -> bool:
        """Tell whether the upstream seems to stall.

        A request that runs far longer than the average shows a stall long before
        answers raise the average.
        """
        if self._latency is None or not self._started:
            return False
        oldest = now - next(iter(self._started.values()))
        return oldest > SUSPECT_FACTOR * self._latency

    def weight(self, now: float) -> float:
        """Return the share of normal work that the upstream should get, 0 to 1."""
        return self._ramp(now) * max(0.05, 1.0 - self._error_share)

    def view(
        self, name: str, free: int, slots: int, now: float
    ) -> upstream_view.UpstreamView:
        """Return what a policy may know.

        Parameters
        ----------
        name : str
        free : int
            Slots that this VM may take.
        slots : int
            Slots of the upstream over all VMs.
        now : float
            Seconds.
        """
        latency = self._latency
        if now - self._last_answer > AVERAGE_LIFETIME_SECONDS:
            latency = None
        reported = None
        if (
            self._report is not None
            and now - self._reported_at <= REPORT_LIFETIME_SECONDS
            and now >= self._distrusted_until
        ):
            reported = self._report.in_flight / max(1, self._report.slots)
        # Requests start in order, so the first one is the oldest.
        oldest = now - next(iter(self._started.values()), now)
        return upstream_view.UpstreamView(
            name,
            free,
            slots,
            len(self._started),
            latency,
            oldest,
            reported,
            self.weight(now),
            now - self._last_answer,
        )

    def _ramp(self, now: float) -> float:
        if self._ramp_from is None:
            return 1.0
        progress = (now - self._ramp_from) / RAMP_SECONDS
        return min(1.0, max(RAMP_FLOOR, progress))
