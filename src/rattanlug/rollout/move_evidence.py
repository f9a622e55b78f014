"""What the steering VM knows about one move."""

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

# Half of the 1% for the steering VM, the other half for the guards on the VMs.
FALSE_ALARM = 0.005
TESTS_PER_ROUTE = 2
CANARY_SHARE = 0.005
RESTART_SECONDS = 5.0


class MoveEvidence:
    """Counts, judgement and allowances of one move, in the steering VM's memory.

    A steering VM that takes over begins with an empty one.

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
        self._capped_at = -math.inf

    @property
    def stage_started(self) -> float:
        """Moment at which the current state or share began, seconds."""
        return self._stage_started

    @property
    def stage_counts(self) -> dict[str, outcome_counts.OutcomeCounts]:
        """The new version's counts since then, for each route with traffic."""
        return self._stage_counts

    @property
    def capped_at(self) -> float:
        """Latest moment at which a VM reported that the cap kept requests back."""
        return self._capped_at

    @property
    def bad(self) -> verdict.Verdict | None:
        """First bad judgement; it stands even if later counts look better."""
        return self._bad

    @property
    def suspicion(self) -> float:
        """Largest evidence over its limit; 1 is bad, 0 and less is inconspicuous."""
        return max(
            (item.log_evidence / self._log_limit for item in self._judges.values()),
            default=0.0,
        )

    @property
    def suspected(self) -> str:
        """Reason of the largest evidence against the new version."""
        route = max(
            self._judges, key=lambda each: self._judges[each].log_evidence, default=""
        )
        if not route:
            return "no route has had requests"
        return judge.judge(route, self._judges[route], self._log_limit).reason

    def enter_stage(self, record: move_record.MoveRecord, now: float) -> None:
        """Note the record in force; a changed state or share begins a new stage."""
        stage = record.state, record.share
        if stage != self._stage:
            self._stage, self._stage_started, self._stage_counts = stage, now, {}

    def add(self, report: outcome_report.OutcomeReport, now: float) -> None:
        """Take the report of one VM and judge."""
        if report.capped:
            self._capped_at = now
        if now - self._last_restart >= RESTART_SECONDS:
            self._last_restart = now
            for route_judge in self._judges.values():
                route_judge.start_again()
        nothing = outcome_counts.OutcomeCounts()
        for route in report.old.keys() | report.new.keys():
            old, new = report.old.get(route, nothing), report.new.get(route, nothing)
            if route not in self._judges:
                self._judges[route] = judge.RouteJudge(self._starts)
            self._judges[route].add(old, new, now)
            before = self._stage_counts.get(route, nothing)
            self._stage_counts[route] = before.plus(new)
            found = judge.judge(route, self._judges[route], self._log_limit)
            if found.bad and self._bad is None:
                self._bad = found
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
            The stored record; never one whose write isn't confirmed.
        report : outcome_report.OutcomeReport
            The report of the VM that asks, already added.

        Returns
        -------
        shares.Shares
            Nothing for the new version after a bad judgement, even before the record
            says so.
        """
        if record.state is move_state.MoveState.DONE:
            return shares.Shares(record.state, 1.0)
        if record.state.final:
            return shares.Shares(record.state)
        if self._bad is not None:
            # Not "taken back" yet: a final state counts only once it is stored.
            return shares.Shares(move_state.MoveState.WAITING)
        if record.state is move_state.MoveState.CANARY:
            return shares.Shares(record.state, 0.0, self._grant(report))
        return shares.Shares(record.state, record.share)

    def _grant(self, report: outcome_report.OutcomeReport) -> dict[str, int]:
        # All allowances ever handed out on a route stay at or below 0.5% of the
        # requests counted on it, whether they are used or lapse.
        allowances = {}
        for route, old in report.old.items():
            if old.requests:
                route_judge = self._judges[route]
                counted = route_judge.old.requests + route_judge.new.requests
                left = int(CANARY_SHARE * counted) - self._granted.get(route, 0)
                if left > 0:
                    self._granted[route] = self._granted.get(route, 0) + left
                    allowances[route] = left
        return allowances
