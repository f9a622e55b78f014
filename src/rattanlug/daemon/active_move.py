"""One move as this VM takes part in it."""

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
# One VM's part of the cap holds a request back now and then, because requests arrive
# unevenly. Only a lasting share of them tells that the cap is below the traffic.
_HELD_GAIN = 0.05
_CAPPED_SHARE = 0.2


class ActiveMove:
    """Exposure, counts and guard of one move.

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
        self._held_share = 0.0
        self._state = move_state.MoveState.WAITING

    @property
    def planned(self) -> model_move.Move:
        """The move as operators wrote it."""
        return self._planned

    @property
    def final(self) -> move_state.MoveState | None:
        """Final state if this VM knows it."""
        return self._exposure.final

    @property
    def state(self) -> move_state.MoveState:
        """State that this VM heard of last."""
        return self._exposure.final or self._state

    def choose(self, route: str, now: float, rng: random.Random) -> str:
        """Return the version for one request."""
        return self._exposure.choose(route, now, rng)

    def count_shift(self, held_back: bool) -> None:
        """Count a request for the new version, and whether the cap held it back."""
        self._held_share += _HELD_GAIN * (held_back - self._held_share)

    def finished(
        self, route: str, version: str, failed: bool, latency: float, cold: bool
    ) -> None:
        """Count the end of one attempt."""
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
        """Return the counts since the previous call, judged by the own guard."""
        old, new = {}, {}
        for (route, version), counts in self._counts.items():
            side = new if version == self._planned.to_version else old
            side[route] = counts
        self._counts.clear()
        if self._guard.add(old, new, now):
            self._exposure.stop()
        capped = self._held_share > _CAPPED_SHARE
        return outcome_report.OutcomeReport(
            self._vm, old, new, self._guard.reason, capped
        )

    def renew(self, given: shares.Shares, asked_at: float) -> None:
        """Take the answer of the steering VM."""
        self._state = given.state
        self._exposure.renew(given, asked_at)

    def finish(self, state: move_state.MoveState) -> None:
        """Note a final state."""
        self._exposure.finish(state)
