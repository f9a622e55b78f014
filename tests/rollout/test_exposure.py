"""Tests that the new version gets requests only within a valid share."""

import random

from rattanlug.model import move
from rattanlug.rollout import (
    exposure,
    move_evidence,
    move_record,
    move_state,
    outcome_counts,
    outcome_report,
    shares,
)

PLANNED = move.Move("m", "s", "v1", "v2", 1000.0, 20.0)
CANARY = move_record.MoveRecord(move_state.MoveState.CANARY, 0.0, 1, 1.0, 1000.0)


def test_share_and_allowances_expire_three_seconds_after_the_request():
    """Guards against requests to a bad version by a VM cut off from the steering VM."""
    budget = exposure.ExposureBudget(PLANNED)
    rng = random.Random(1)
    budget.renew(shares.Shares(move_state.MoveState.RAMPING, 1.0), 10.0)
    assert budget.choose("r", 12.9, rng) == "v2"
    assert budget.choose("r", 13.0, rng) == "v1"
    budget.renew(shares.Shares(move_state.MoveState.CANARY, 0.0, {"r": 2}), 20.0)
    assert budget.choose("r", 22.0, rng) == "v2"
    assert budget.choose("r", 23.0, rng) == "v1"


def test_late_response_does_not_replace_a_newer_one():
    """Guards against a delayed response with a share that reverts a roll-back."""
    budget = exposure.ExposureBudget(PLANNED)
    budget.renew(shares.Shares(move_state.MoveState.WAITING), 11.0)
    budget.renew(shares.Shares(move_state.MoveState.RAMPING, 1.0), 10.0)
    assert budget.choose("r", 11.5, random.Random(1)) == "v1"


def test_canary_stays_at_half_a_percent_of_a_route():
    """Guards against allowances of many VMs that add up to more than 0.5%."""
    rng = random.Random(3)
    evidence = move_evidence.MoveEvidence(2, 0.0, 600.0)
    evidence.enter_stage(CANARY, 0.0)
    budgets = {f"vm{n}": exposure.ExposureBudget(PLANNED) for n in range(12)}
    total, new_total = {"a": 0, "b": 0}, {"a": 0, "b": 0}
    for step in range(600):
        now = step * 0.5
        for vm, budget in budgets.items():
            sent = {"v1": {}, "v2": {}}
            for route, most in (("a", 12), ("b", 1)):
                for _ in range(rng.randint(0, most)):
                    version = budget.choose(route, now, rng)
                    counts = sent[version].get(route, outcome_counts.OutcomeCounts())
                    sent[version][route] = counts.plus(outcome_counts.OutcomeCounts(1))
                    total[route] += 1
                    new_total[route] += version == "v2"
            report = outcome_report.OutcomeReport(vm, sent["v1"], sent["v2"])
            evidence.add(report, now)
            if rng.random() < 0.9:
                budget.renew(evidence.answer(CANARY, report), now)
            assert all(new_total[r] <= 0.005 * total[r] for r in total)
    assert new_total["a"] > 0.003 * total["a"]
    assert new_total["b"] > 0
