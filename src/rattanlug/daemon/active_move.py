"""One move of a service to another version, as this VM takes part in it."""

import random

from rattanlug.daemon import slow_limit
from rattanlug.model import move as model_move
from rattanlug.rollout import (
    exposure,
    local_guard,
    move_state,
    outcome_counts,
    outcome_report,
    shares,
)

_FIRST_SLOW_LIMIT_SECONDS = 0.25
# Requests arrive unevenly, so one VM's share of the cap holds a request back now and
# then. Only a moving average above the threshold shows that the cap is below the
# traffic.
_HELD_BACK_SMOOTHING = 0.05
_CAPPED_THRESHOLD = 0.2


class ActiveMove:
    """Exposure budget, outcome counts and local guard of one move.

    Parameters
    ----------
    planned : model_move.Move
    vm : str
    guard : local_guard.LocalGuard
    """

    def __init__(
        self, planned: model_move.Move, vm: str, guard: local_guard.LocalGuard
    ) -> None:
        self._planned = planned
        self._vm = vm
        self._guard = guard
        self._exposure = exposure.ExposureBudget(planned)
        self._limits: dict[str, slow_limit.SlowLimit] = {}
        self._counts: dict[tuple[str, str], outcome_counts.OutcomeCounts] = {}
        self._held_back_share = 0.0
        self._state = move_state.MoveState.WAITING

    @property
    def planned(self) -> model_move.Move:
        """The move as the operators configured it."""
        return self._planned

    @property
    def final(self) -> move_state.MoveState | None:
        """Final state, or None while this VM does not know it."""
        return self._exposure.final

    @property
    def state(self) -> move_state.MoveState:
        """State that this VM received last."""
        return self._exposure.final or self._state

    def choose(self, route: str, now: float, rng: random.Random) -> str:
        """Return the version for one request."""
        return self._exposure.choose(route, now, rng)

    def count_cap_check(self, held_back: bool) -> None:
        """Record whether the cap held back a request for the new version."""
        self._held_back_share += _HELD_BACK_SMOOTHING * (
            held_back - self._held_back_share
        )

    def record_outcome(
        self, route: str, version: str, failed: bool, latency: float, cold: bool
    ) -> None:
        """Count the outcome of one attempt; ``latency`` in seconds."""
        limit = self._limits.get(route)
        if limit is None:
            limit = slow_limit.SlowLimit(_FIRST_SLOW_LIMIT_SECONDS)
            self._limits[route] = limit
        slow = latency > limit.seconds
        if version == self._planned.from_version and not failed:
            limit.observe(latency)
        one = outcome_counts.OutcomeCounts(1, int(failed), int(slow), int(cold))
        before = self._counts.get((route, version), outcome_counts.OutcomeCounts())
        self._counts[route, version] = before.plus(one)

    def take_report(self, now: float) -> outcome_report.OutcomeReport:
        """Return the counts since the previous call, checked by the local guard."""
        old, new = {}, {}
        for (route, version), counts in self._counts.items():
            side = new if version == self._planned.to_version else old
            side[route] = counts
        self._counts.clear()
        if self._guard.add(old, new, now):
            self._exposure.stop()
        capped = self._held_back_share > _CAPPED_THRESHOLD
        return outcome_report.OutcomeReport(
            self._vm, old, new, self._guard.reason, capped
        )

    def renew(self, granted: shares.Shares, asked_at: float) -> None:
        """Apply the response of the VM that steers the move."""
        self._state = granted.state
        self._exposure.renew(granted, asked_at)

    def record_final_state(self, state: move_state.MoveState) -> None:
        """Record the final state of the move."""
        self._exposure.finish(state)
