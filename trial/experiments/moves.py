"""One rollout of a version with the real decision code, in virtual time."""

import collections
import heapq
import math
import random

from rattanlug.model import move
from rattanlug.rollout import (
    controller,
    exposure,
    local_guard,
    move_evidence,
    move_record,
    move_state,
    outcome_counts,
    outcome_report,
    shares,
    steering_lease,
)
from rattanlug.routing import upstream_state
from trial.experiments import fixed_steps, upstream_model, version_faults

DEADLINE_S = 400.0
TICK_S = 0.1
REPORT_EVERY_TICKS = 5
ROUTES = {"view": 0.7, "search": 0.25, "claim": 0.05}
OLD_VERSION_ERROR_SHARE = 0.001
SLOW_FACTOR = 4.0
SERVICE_TIME_S = 0.15
RESPONSE_TIMEOUT_S = 2.0
LOST_WRITE_PROBABILITY = 0.05
PAUSE_S = 8.0
REPLACEMENT_S = 5.0
REQUESTS_PER_S = {"txiki": 200.0, "nool": 250.0}
PLANNED_MOVE = move.Move("m", "s", "v1", "v2", DEADLINE_S, 0.0)


class MoveVm:
    """State of one VM during the rollout."""

    def __init__(self, name: str, now: float, vms: int):
        self.name = name
        self.budget = exposure.ExposureBudget(PLANNED_MOVE)
        self.guard = local_guard.LocalGuard(len(ROUTES), vms, now, DEADLINE_S - now)
        self.lease = steering_lease.SteeringLease(name, int(now * 10))
        self.evidence: move_evidence.MoveEvidence | None = None
        self.unavailable_until = 0.0
        self.counts = {"v1": {}, "v2": {}}
        self.attempts_by_upstream = collections.Counter()
        self.capped = False


class MoveRun:
    """One run of a rollout.

    Parameters
    ----------
    deployment : str
    fault : str
        Name in ``version_faults.FAULTS``.
    seed : int
    disturbance : str
        ``kill`` or ``pause`` the steering VM after every change of the record.
    fixed : bool
        True runs the baseline instead of the controller.
    """

    def __init__(self, deployment, fault, seed, disturbance="", fixed=False):
        self._rng = random.Random(seed)
        self._rate = REQUESTS_PER_S[deployment]
        self._cap = 2.5 * self._rate
        self._fault = version_faults.FAULTS[fault]
        self._disturbance = disturbance
        self._fixed = fixed
        count = 12 if deployment == "txiki" else 10
        self._vms = [MoveVm(f"vm{n}", 0.0, count) for n in range(count)]
        self._lease_row = None
        self._record = move_record.new_record(PLANNED_MOVE, 0)
        self._totals = [outcome_counts.OutcomeCounts()] * 2
        self._responses = collections.Counter()
        self._completions = []
        self._number = 0
        self._tokens, self._sent_this_second = self._cap / 2, 0
        self._detected_at = math.inf
        self._result = collections.Counter()
        self._route_total = collections.Counter()
        self._exposed = collections.Counter()
        self._last_share = 0.0

    def run(self) -> dict[str, float]:
        """Run until 10 s after the end of the rollout and return its measurements."""
        step, ended = 0, None
        while step * TICK_S < DEADLINE_S + 10:
            now = step * TICK_S
            self._send_traffic(now)
            for n, vm in enumerate(self._vms):
                if now < vm.unavailable_until:
                    continue
                if self._disturbance == "kill" and vm.unavailable_until:
                    self._vms[n] = vm = MoveVm(vm.name, now, len(self._vms))
                if (step + n) % REPORT_EVERY_TICKS == 0:
                    self._run_control_round(vm, now)
            if self._record.state.final and ended is None:
                ended = now
            if ended is not None and now > ended + 10:
                break
            step += 1
        share = max(
            (self._exposed[r] / self._route_total[r] for r in self._exposed), default=0
        )
        return {
            "ended": ended is not None,
            "done": self._record.state is move_state.MoveState.DONE,
            "seconds": ended if ended is not None else math.inf,
            "exposed": share,
            "within_1_percent": share <= 0.01,
            "late": self._result["late"],
            "above_cap": self._result["above_cap"],
            "reason": self._record.reason,
        }

    def _send_traffic(self, now):
        while self._completions and self._completions[0][0] <= now:
            _, _, vm, version, route, counts = heapq.heappop(self._completions)
            before = vm.counts[version].get(route, outcome_counts.OutcomeCounts())
            vm.counts[version][route] = before.plus(counts)
        self._tokens = min(self._cap / 2, self._tokens + TICK_S * self._cap / 2)
        if int(now) != int(now - TICK_S):
            self._sent_this_second = 0
        total = new = 0
        for vm in self._vms:
            if now < vm.unavailable_until:
                continue
            for route, route_share in ROUTES.items():
                mean = self._rate * route_share * TICK_S / len(self._vms)
                for _ in range(self._poisson(mean)):
                    total += 1
                    new += self._request(vm, route, now)
        if total:
            self._last_share += 0.1 * (new / total - self._last_share)

    def _poisson(self, mean):
        threshold, count, product = math.exp(-mean), 0, self._rng.random()
        while product > threshold:
            count += 1
            product *= self._rng.random()
        return count

    def _request(self, vm, route, now):
        version = vm.budget.choose(route, now, self._rng)
        in_rollout = vm.budget.final is not move_state.MoveState.DONE
        if version == "v2" and in_rollout and self._tokens < 1:
            version, vm.capped = "v1", True
        service_time = SERVICE_TIME_S * self._rng.lognormvariate(0.0, 0.4)
        errors, cold = OLD_VERSION_ERROR_SHARE, False
        bad_errors, slow_factor = self._fault(now, self._last_share, route)
        if version == "v2":
            if in_rollout:
                self._tokens -= 1
                self._sent_this_second += 1
                self._result["above_cap"] += self._sent_this_second > self._cap
            upstream = self._rng.randrange(12)
            cold = vm.attempts_by_upstream[upstream] < upstream_state.WARM_ANSWERS
            vm.attempts_by_upstream[upstream] += 1
            self._responses[upstream] += 1
            coldness = math.exp(
                -self._responses[upstream] / upstream_model.WARM_AFTER_REQUESTS
            )
            service_time *= slow_factor * (
                1 + (upstream_model.COLD_FACTOR - 1) * coldness
            )
            errors += bad_errors
            if now > self._detected_at + 5:
                self._result["late"] += 1
        if self._detected_at == math.inf or now <= self._detected_at + 5:
            self._route_total[route] += 1
            if version == "v2" and (bad_errors or slow_factor != 1.0):
                self._exposed[route] += 1
        failed = self._rng.random() < errors or service_time > RESPONSE_TIMEOUT_S
        slow = service_time > SLOW_FACTOR * SERVICE_TIME_S
        end = now + min(service_time, SLOW_FACTOR * SERVICE_TIME_S)
        self._number += 1
        counts = outcome_counts.OutcomeCounts(1, int(failed), int(slow), int(cold))
        heapq.heappush(
            self._completions, (end, self._number, vm, version, route, counts)
        )
        return version == "v2"

    def _run_control_round(self, vm, now):
        vm.lease.observe(self._lease_row, now)
        row = vm.lease.next_write(now)
        if row is not None:
            vm.lease.record_attempt(row, now)
            self._lease_row = row
            if self._rng.random() >= LOST_WRITE_PROBABILITY:
                vm.lease.observe(row, now)
        self._steer(vm, now)
        old, new = vm.counts["v1"], vm.counts["v2"]
        vm.counts = {"v1": {}, "v2": {}}
        reason = ""
        if not self._fixed and vm.guard.add(old, new, now):
            vm.budget.stop()
            reason = vm.guard.reason
        report = outcome_report.OutcomeReport(vm.name, old, new, reason, vm.capped)
        vm.capped = False
        if self._record.state.final:
            vm.budget.finish(self._record.state)
        steering = next(
            (o for o in self._vms if now >= o.unavailable_until and o.lease.held(now)),
            None,
        )
        if steering is None or steering.evidence is None:
            return
        if self._fixed:
            self._totals = [
                self._totals[0].plus(_sum_counts(old)),
                self._totals[1].plus(_sum_counts(new)),
            ]
            vm.budget.renew(shares.Shares(self._record.state, self._record.share), now)
            return
        steering.evidence.add(report, now)
        if steering.evidence.bad is not None:
            self._detected_at = min(self._detected_at, now)
        vm.budget.renew(steering.evidence.answer(self._record, report), now)

    def _steer(self, vm, now):
        if not vm.lease.held(now):
            vm.evidence = None
            return
        if vm.evidence is None:
            vm.evidence = move_evidence.MoveEvidence(len(ROUTES), now, DEADLINE_S - now)
        if self._fixed:
            next_record = fixed_steps.next_step(
                self._record, self._totals, now, now, vm.lease.term
            )
        else:
            next_record = controller.next_step(
                self._record, vm.evidence, now, now, vm.lease.term
            )
        if next_record == self._record or self._rng.random() < LOST_WRITE_PROBABILITY:
            return
        changed = (next_record.state, next_record.share) != (
            self._record.state,
            self._record.share,
        )
        self._record = next_record
        if next_record.state is move_state.MoveState.ROLLED_BACK:
            self._detected_at = min(self._detected_at, now)
        if changed:
            self._totals = [outcome_counts.OutcomeCounts()] * 2
            if self._disturbance == "kill":
                vm.unavailable_until = now + REPLACEMENT_S
            elif self._disturbance == "pause":
                vm.unavailable_until = now + PAUSE_S


def _sum_counts(counts):
    total = outcome_counts.OutcomeCounts()
    for item in counts.values():
        total = total.plus(item)
    return total
