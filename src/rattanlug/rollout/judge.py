"""Comparison of the new version with the old one on one route."""

import math

from rattanlug.rollout import outcome_counts, sequential_test, verdict

# Regression that is tolerated in a good version: an error rate of up to 1.5 times the
# old rate plus 0.2%, and a rate of slow responses of up to twice the old rate plus 2%.
# On upstreams that have just started and have cold caches, slow responses to half of
# the requests are tolerated.
ERROR_RATIO = 1.5
ERROR_EXCESS = 0.002
SLOW_RATIO = 2.0
SLOW_EXCESS = 0.02
COLD_SLOW_EXCESS = 0.5
# A period ends when there are enough requests to the old version for the largest bet
# of ``sequential_test``, or after 1 s. Without requests to the new version, those to
# the old one are kept for up to 5 s, for comparison with the next request to the new
# version.
OLD_REQUESTS_PER_NEW = 160
PERIOD_SECONDS = 1.0
MAX_PERIOD_SECONDS = 5.0
# At a large share, a route may have no requests to the old version for some time. Its
# earlier ones are then used for the comparison, if there are at least this many.
MIN_BASELINE_REQUESTS = 50


class RouteJudge:
    """Collects evidence against the new version on one route.

    Parameters
    ----------
    starts : int
        Starts of each sequential test, see ``sequential_test.SequentialTest``.
    """

    def __init__(self, starts: int = 1):
        self._errors = sequential_test.SequentialTest(ERROR_RATIO, starts)
        self._slow = sequential_test.SequentialTest(SLOW_RATIO, starts)
        self._new = outcome_counts.OutcomeCounts()
        self._old = outcome_counts.OutcomeCounts()
        self._period_new = outcome_counts.OutcomeCounts()
        self._period_old = outcome_counts.OutcomeCounts()
        self._period_started: float | None = None

    @property
    def new(self) -> outcome_counts.OutcomeCounts:
        """Sum of the new version's counts."""
        return self._new

    @property
    def old(self) -> outcome_counts.OutcomeCounts:
        """Sum of the old version's counts."""
        return self._old

    @property
    def log_evidence(self) -> float:
        """Logarithm of the evidence, the larger one of the two tests."""
        return max(self._errors.log_evidence, self._slow.log_evidence)

    @property
    def worse_metric(self) -> str:
        """Metric with more evidence against the new version."""
        if self._errors.log_evidence >= self._slow.log_evidence:
            return "errors"
        return "slow answers"

    def add_start(self) -> None:
        """Start further tests now, to detect regressions that begin late."""
        self._errors.add_start()
        self._slow.add_start()

    def add(
        self,
        old: outcome_counts.OutcomeCounts,
        new: outcome_counts.OutcomeCounts,
        now: float,
    ) -> None:
        """Add the counts of both versions since the previous call.

        Parameters
        ----------
        old, new : outcome_counts.OutcomeCounts
        now : float
            Seconds.
        """
        self._old = self._old.plus(old)
        self._new = self._new.plus(new)
        if self._period_started is None:
            self._period_started = now
        age = now - self._period_started
        if age > MAX_PERIOD_SECONDS and self._period_new.requests == 0:
            self._period_old = outcome_counts.OutcomeCounts()
            self._period_started, age = now, 0.0
        self._period_old = self._period_old.plus(old)
        self._period_new = self._period_new.plus(new)
        # The end of a period depends only on the numbers of requests, never on their
        # outcomes; otherwise the bound on false alarms would not hold.
        if self._period_new.requests and self._period_old.requests:
            enough = OLD_REQUESTS_PER_NEW * self._period_new.requests
            if self._period_old.requests >= enough or age >= PERIOD_SECONDS:
                self._end_period(now)
        elif (
            self._period_new.requests
            and age >= PERIOD_SECONDS
            and self._old.requests >= MIN_BASELINE_REQUESTS
        ):
            self._end_period_without_baseline(now)

    def _end_period(self, now: float) -> None:
        old, new = self._period_old, self._period_new
        self._period_old = self._period_new = outcome_counts.OutcomeCounts()
        self._period_started = now
        self._errors.add(
            ERROR_EXCESS * new.requests,
            new.requests,
            new.errors,
            old.requests,
            old.errors,
        )
        cold = min(new.cold, new.requests)
        self._slow.add(
            SLOW_EXCESS * (new.requests - cold) + COLD_SLOW_EXCESS * cold,
            new.requests,
            new.slow,
            old.requests,
            old.slow,
        )

    def _end_period_without_baseline(self, now: float) -> None:
        """Compare with the old version's earlier outcomes plus a statistical margin."""
        new = self._period_new
        self._period_new = outcome_counts.OutcomeCounts()
        self._period_started = now
        errors = ERROR_EXCESS + ERROR_RATIO * _upper_rate(
            self._old.errors, self._old.requests
        )
        self._errors.add_without_baseline(errors * new.requests, new.errors)
        cold = min(new.cold, new.requests)
        slow = SLOW_RATIO * _upper_rate(self._old.slow, self._old.requests)
        allowed = (slow + SLOW_EXCESS) * new.requests + COLD_SLOW_EXCESS * cold
        self._slow.add_without_baseline(allowed, new.slow)


def _upper_rate(events: int, requests: int) -> float:
    return min(1.0, (events + 3.0 * math.sqrt(events + 1.0)) / requests)


def judge(route: str, evidence: RouteJudge, log_limit: float) -> verdict.Verdict:
    """Return the verdict on the new version on one route.

    Parameters
    ----------
    route : str
    evidence : RouteJudge
    log_limit : float
        Log evidence from which the verdict is bad: the logarithm of the number of tests
        divided by the false-alarm probability.

    Returns
    -------
    verdict.Verdict
    """
    bad = evidence.log_evidence >= log_limit
    new, old = evidence.new, evidence.old
    reason = (
        f"{evidence.worse_metric} on {route}: "
        f"new {new.errors} errors, {new.slow} slow of {new.requests}; "
        f"old {old.errors}, {old.slow} of {old.requests}"
    )
    return verdict.Verdict(bad, evidence.log_evidence / log_limit, reason)
