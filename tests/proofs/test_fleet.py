"""Tests that rates hold, seats have one holder and withdrawn keys are rejected."""

import pytest

from tests.proofs import rate, refusals, withdrawal

# A seed that fails for each mutant, found by longer runs (docs/proofs.md).
FAILING_SEEDS = {
    "lease of 60 s": 7,
    "no freshness": 12,
    "no reports from peers": 7,
    "refill 10% too fast": 1,
    "takeover after 4 s": 121,
}


def test_no_schedule_violates_a_limit():
    failing, totals = rate.run_schedules(1, 10)
    assert not failing, failing[0]
    assert totals["admitted"] > 1000


@pytest.mark.parametrize("mutant", sorted(FAILING_SEEDS))
def test_simulation_detects_missing_mechanism(mutant):
    assert rate.run_schedules(FAILING_SEEDS[mutant], 1, mutant)[0]


@pytest.mark.parametrize("shift_s", [0.0, 3.0])
def test_organisation_within_its_rate_is_not_rejected(shift_s):
    scenario = refusals.Scenario("", 50, 50, shift_s=shift_s, spacing="random")
    assert refusals.Simulation(scenario, 1).run(12.0) <= 0.01
    assert refusals.Simulation(scenario, 1, lending=False).run(12.0) > 0.5


def test_withdrawn_key_is_rejected():
    failing, accepted, longest, _ = withdrawal.run_schedules(1, 30)
    assert not failing, failing[0]
    assert accepted > 10 and longest > 1


@pytest.mark.parametrize("mutant", sorted(withdrawal.MUTANTS))
def test_key_simulation_detects_missing_mechanism(mutant):
    assert withdrawal.run_schedules(1, 1, mutant)[0]
