"""Comparison of the two versions on one VM's own counts."""

import math
from collections.abc import Mapping

from rattanlug.rollout import judge, move_evidence, outcome_counts


class LocalGuard:
    """Stops a VM from using a bad new version without waiting for the steering VM.

    Parameters
    ----------
    routes : int
        Routes of the service.
    vms : int
        VMs in the fleet; all guards together get half of the false-alarm probability.
    now : float
        Seconds.
    remaining : float
        Seconds until the move's deadline.
    """

    def __init__(self, routes: int, vms: int, now: float, remaining: float):
        tests = max(1, routes) * max(1, vms) * move_evidence.TESTS_PER_ROUTE
        self._log_limit = math.log(tests / move_evidence.FALSE_ALARM)
        self._starts = max(1, math.ceil(remaining / move_evidence.RESTART_SECONDS))
        self._judges: dict[str, judge.RouteJudge] = {}
        self._last_restart = now
        self._reason = ""

    @property
    def reason(self) -> str:
        """Why the VM stopped using the new version; empty if it hasn't."""
        return self._reason

    def add(
        self,
        old: Mapping[str, outcome_counts.OutcomeCounts],
        new: Mapping[str, outcome_counts.OutcomeCounts],
        now: float,
    ) -> bool:
        """Add this VM's counts since the previous call.

        Returns
        -------
        bool
            True if the VM has to stop using the new version.
        """
        if now - self._last_restart >= move_evidence.RESTART_SECONDS:
            self._last_restart = now
            for route_judge in self._judges.values():
                route_judge.add_start()
        no_counts = outcome_counts.OutcomeCounts()
        for route in old.keys() | new.keys():
            if route not in self._judges:
                self._judges[route] = judge.RouteJudge(self._starts)
            self._judges[route].add(
                old.get(route, no_counts), new.get(route, no_counts), now
            )
            route_verdict = judge.judge(route, self._judges[route], self._log_limit)
            if route_verdict.bad and not self._reason:
                self._reason = route_verdict.reason
        return bool(self._reason)
