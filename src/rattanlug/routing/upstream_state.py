"""Health, load and draining state of one upstream, as this VM sees it."""

import enum

from rattanlug.routing import load_report, upstream_view

REPORT_LIFETIME_SECONDS = 3.0
# Weight of the newest response in the moving averages.
SMOOTHING_FACTOR = 0.2
# An average is ignored if no response has updated it for this long.
AVERAGE_LIFETIME_SECONDS = 10.0
# Multiple of the average latency at which a request in flight makes its upstream
# suspect. With service times that vary by a factor of 1.5, 1 in 25 requests takes
# longer than twice the average.
SUSPECT_FACTOR = 1.6
FAILURES_TO_EJECT = 3
BASE_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 30.0
SLOW_START_SECONDS = 10.0
SLOW_START_MIN_FACTOR = 0.1
# Caches warm up with requests, not with time: at a small share of the traffic an
# upstream is still cold after minutes. The count is per VM; the whole fleet sends
# several times as many.
WARM_ANSWERS = 20
# A report below this VM's own requests in flight is wrong. Reports are used again once
# none has been wrong for this long.
DISTRUST_SECONDS = 30.0


class LeavingSource(enum.Enum):
    """Sources from which this VM learns that an upstream is leaving.

    ``REPORT`` is the upstream's own load report, ``RULE`` a drain rule of the
    configuration, ``PLATFORM`` the platform. New requests are not sent to an upstream
    that is leaving.
    """

    REPORT = "report"
    RULE = "rule"
    PLATFORM = "platform"


class UpstreamState:
    """State of one upstream.

    All times are seconds on this VM's monotonic clock.

    Parameters
    ----------
    now : float
        Seconds.
    cold : bool
        True for an upstream that has just started: its share of requests grows over
        10 s (slow start).
    """

    def __init__(self, now: float, *, cold: bool = False):
        self._slow_start_from: float | None = now if cold else None
        self._responses_until_warm = WARM_ANSWERS if cold else 0
        self._latency: float | None = None
        self._last_response_at = float("-inf")
        self._error_share = 0.0
        self._consecutive_failures = 0
        self._ejections = 0
        self._ejected_until = float("-inf")
        self._leaving_since: dict[LeavingSource, float] = {}
        self._report: load_report.LoadReport | None = None
        self._reported_at = float("-inf")
        self._distrusted_until = float("-inf")
        self._start_times: dict[int, float] = {}
        self._next_request = 0

    @property
    def cold(self) -> bool:
        """True until the upstream has responded to 20 requests since it started.

        While traffic moves to a new version of the service, more slow responses are
        tolerated from cold upstreams.
        """
        return self._responses_until_warm > 0

    @property
    def in_flight(self) -> int:
        """Requests of this VM that the upstream is processing."""
        return len(self._start_times)

    @property
    def error_share(self) -> float:
        """Moving average of the share of this VM's requests that fail."""
        return self._error_share

    @property
    def leaving_since(self) -> float | None:
        """Time since which a source reports the upstream as leaving, seconds.

        The earliest one if several sources do; None if none does.
        """
        return min(self._leaving_since.values(), default=None)

    def start(self, now: float) -> int:
        """Count a request as sent and return its number for ``finish``."""
        self._next_request += 1
        self._start_times[self._next_request] = now
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
            True for a broken connection, a time-out or a 5xx response.
        abandoned : bool
            True if the caller gave up: this says nothing about the upstream's health,
            but the elapsed time is a lower bound of the latency.
        """
        latency = now - self._start_times.pop(request)
        if not abandoned or latency > (self._latency or 0.0):
            self._last_response_at = now
            if self._latency is None:
                self._latency = latency
            else:
                self._latency += SMOOTHING_FACTOR * (latency - self._latency)
        if abandoned:
            return
        self._responses_until_warm = max(0, self._responses_until_warm - 1)
        self._error_share += SMOOTHING_FACTOR * (failed - self._error_share)
        if not failed:
            self._consecutive_failures = 0
            if self.weight(now) >= 1.0:
                self._ejections = 0
            return
        self._consecutive_failures += 1
        if (
            self._consecutive_failures >= FAILURES_TO_EJECT
            and now >= self._ejected_until
        ):
            ejection_seconds = min(
                BASE_EJECTION_SECONDS * 2**self._ejections, MAX_EJECTION_SECONDS
            )
            self._ejections += 1
            self._ejected_until = now + ejection_seconds
            self._slow_start_from = now + ejection_seconds
            # After the ejection, one failed request ejects the upstream again.
            self._consecutive_failures = FAILURES_TO_EJECT - 1

    def receive_report(self, report: load_report.LoadReport, asked_at: float) -> None:
        """Record a load report.

        Parameters
        ----------
        report : load_report.LoadReport
        asked_at : float
            Time just before the report was requested, seconds.
        """
        if asked_at < self._reported_at:
            return
        sent_before = sum(1 for start in self._start_times.values() if start < asked_at)
        if report.in_flight < sent_before - 1:
            self._distrusted_until = asked_at + DISTRUST_SECONDS
        self._report, self._reported_at = report, asked_at
        self.set_leaving(LeavingSource.REPORT, report.draining, asked_at)

    def set_leaving(self, source: LeavingSource, leaving: bool, now: float) -> None:
        """Record whether a source reports the upstream as leaving.

        The time of the source's first such report is kept. When no source reports it
        any more, the upstream returns with a slow start.
        """
        if leaving:
            self._leaving_since.setdefault(source, now)
        elif (
            self._leaving_since.pop(source, None) is not None
            and not self._leaving_since
        ):
            self._slow_start_from = now

    def start_cold(self, now: float) -> None:
        """Record that the upstream was restarted or changed its version."""
        self._slow_start_from = now
        self._responses_until_warm = WARM_ANSWERS
        self._latency = None

    def accepts_work(self, now: float) -> bool:
        """Return whether new requests may be sent to the upstream."""
        return not self._leaving_since and not self.ejected(now)

    def ejected(self, now: float) -> bool:
        """Return whether the upstream is ejected after consecutive failures."""
        return now < self._ejected_until

    def suspect(self, now: float) -> bool:
        """Return whether the upstream appears to stall.

        A request in flight for far longer than the average shows a stall long before
        responses raise the average.
        """
        if self._latency is None or not self._start_times:
            return False
        oldest_request_age = now - next(iter(self._start_times.values()))
        return oldest_request_age > SUSPECT_FACTOR * self._latency

    def weight(self, now: float) -> float:
        """Return the share of its normal load that the upstream should get, 0 to 1."""
        return self._slow_start_factor(now) * max(0.05, 1.0 - self._error_share)

    def view(
        self, name: str, free_slots: int, slots: int, now: float
    ) -> upstream_view.UpstreamView:
        """Return the view that is passed to a policy.

        Parameters
        ----------
        name : str
        free_slots : int
            Own slots that this VM may use now.
        slots : int
            Slots of the upstream across all VMs.
        now : float
            Seconds.
        """
        latency = self._latency
        if now - self._last_response_at > AVERAGE_LIFETIME_SECONDS:
            latency = None
        reported_load = None
        if (
            self._report is not None
            and now - self._reported_at <= REPORT_LIFETIME_SECONDS
            and now >= self._distrusted_until
        ):
            reported_load = self._report.in_flight / max(1, self._report.slots)
        # Requests are in the order of their start, so the first one is the oldest.
        oldest_request_age = now - next(iter(self._start_times.values()), now)
        return upstream_view.UpstreamView(
            name,
            free_slots,
            slots,
            len(self._start_times),
            latency,
            oldest_request_age,
            reported_load,
            self.weight(now),
            now - self._last_response_at,
        )

    def _slow_start_factor(self, now: float) -> float:
        if self._slow_start_from is None:
            return 1.0
        progress = (now - self._slow_start_from) / SLOW_START_SECONDS
        return min(1.0, max(SLOW_START_MIN_FACTOR, progress))
