"""The steering VM's information about one move."""

import math

from rattanlug.rollout import (
    judge,
    move_record,
    move_state,
    outcome_counts,
    outcome_report,
    shares,
    verdict,
)

# A good version is rolled back with a probability of at most 1%: half of it is for the
# steering VM, the other half for the local guards of the VMs.
FALSE_ALARM = 0.005
# One test of errors and one of slow responses.
TESTS_PER_ROUTE = 2
CANARY_SHARE = 0.005
# Interval at which each sequential test is started once more.
RESTART_SECONDS = 5.0


class MoveEvidence:
    """Counts, verdict and allowances of one move, in the steering VM's memory.

    A VM that takes over the steering lease starts with an empty one.

    Parameters
    ----------
    routes : int
        Routes of the service; the false-alarm probability is divided among them.
    now : float
        Seconds.
    remaining : float
        Seconds until the move's deadline.
    """

    def __init__(self, routes: int, now: float, remaining: float):
        self._log_limit = math.log(max(1, routes) * TESTS_PER_ROUTE / FALSE_ALARM)
        self._starts = max(1, math.ceil(remaining / RESTART_SECONDS))
        self._judges: dict[str, judge.RouteJudge] = {}
        self._granted: dict[str, int] = {}
        self._last_restart = now
        self._stage: tuple[move_state.MoveState, float] | None = None
        self._stage_started = now
        self._stage_counts: dict[str, outcome_counts.OutcomeCounts] = {}
        self._bad: verdict.Verdict | None = None
        self._last_capped_at = -math.inf

    @property
    def stage_started(self) -> float:
        """Time at which the current state or share began, seconds."""
        return self._stage_started

    @property
    def stage_counts(self) -> dict[str, outcome_counts.OutcomeCounts]:
        """The new version's counts in the current stage, by route with traffic."""
        return self._stage_counts

    @property
    def last_capped_at(self) -> float:
        """Latest time at which a VM reported that the cap limited its requests."""
        return self._last_capped_at

    @property
    def bad(self) -> verdict.Verdict | None:
        """First bad verdict; it is kept even if later counts are better."""
        return self._bad

    @property
    def evidence_ratio(self) -> float:
        """Largest log evidence of any route, divided by the limit for a bad verdict.

        1 means a bad verdict; 0 or less means no evidence.
        """
        return max(
            (item.log_evidence / self._log_limit for item in self._judges.values()),
            default=0.0,
        )

    @property
    def strongest_evidence(self) -> str:
        """Description of the largest evidence against the new version."""
        route = max(
            self._judges, key=lambda each: self._judges[each].log_evidence, default=""
        )
        if not route:
            return "no route has had requests"
        return judge.judge(route, self._judges[route], self._log_limit).reason

    def enter_stage(self, record: move_record.MoveRecord, now: float) -> None:
        """Record the current state and share; a change begins a new stage."""
        stage = record.state, record.share
        if stage != self._stage:
            self._stage, self._stage_started, self._stage_counts = stage, now, {}

    def add(self, report: outcome_report.OutcomeReport, now: float) -> None:
        """Add the report of one VM and update the verdict."""
        if report.capped:
            self._last_capped_at = now
        if now - self._last_restart >= RESTART_SECONDS:
            self._last_restart = now
            for route_judge in self._judges.values():
                route_judge.add_start()
        no_counts = outcome_counts.OutcomeCounts()
        for route in report.old.keys() | report.new.keys():
            old, new = (
                report.old.get(route, no_counts),
                report.new.get(route, no_counts),
            )
            if route not in self._judges:
                self._judges[route] = judge.RouteJudge(self._starts)
            self._judges[route].add(old, new, now)
            before = self._stage_counts.get(route, no_counts)
            self._stage_counts[route] = before.plus(new)
            route_verdict = judge.judge(route, self._judges[route], self._log_limit)
            if route_verdict.bad and self._bad is None:
                self._bad = route_verdict
        if report.stopped and self._bad is None:
            self._bad = verdict.Verdict(True, 1.0, f"{report.vm}: {report.stopped}")

    def answer(
        self,
        record: move_record.MoveRecord,
        report: outcome_report.OutcomeReport,
    ) -> shares.Shares:
        """Return the response to a report.

        Parameters
        ----------
        record : move_record.MoveRecord
            The stored record; never one whose write has not been confirmed.
        report : outcome_report.OutcomeReport
            The report, which has already been passed to ``add``.

        Returns
        -------
        shares.Shares
            No share for the new version after a bad verdict, even before the record is
            updated.
        """
        if record.state is move_state.MoveState.DONE:
            return shares.Shares(record.state, 1.0)
        if record.state.final:
            return shares.Shares(record.state)
        if self._bad is not None:
            # Not yet ROLLED_BACK: a final state is valid only once it is stored.
            return shares.Shares(move_state.MoveState.WAITING)
        if record.state is move_state.MoveState.CANARY:
            return shares.Shares(record.state, 0.0, self._grant(report))
        return shares.Shares(record.state, record.share)

    def _grant(self, report: outcome_report.OutcomeReport) -> dict[str, int]:
        # The sum of all allowances granted on a route is at most 0.5% of the requests
        # counted on it, whether they are used or expire.
        allowances = {}
        for route, old in report.old.items():
            if old.requests:
                route_judge = self._judges[route]
                counted = route_judge.old.requests + route_judge.new.requests
                allowance = int(CANARY_SHARE * counted) - self._granted.get(route, 0)
                if allowance > 0:
                    self._granted[route] = self._granted.get(route, 0) + allowance
                    allowances[route] = allowance
        return allowances
