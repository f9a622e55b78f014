"""Guards against a second execution and against a false "not run"."""

import pytest

from tests.proofs import executions


def test_no_schedule_runs_an_operation_twice():
    failing, results, _ = executions.run_schedules(1, 1000)
    assert not failing, failing[0]
    assert results["answer"] > 0


@pytest.mark.parametrize("name", sorted(executions.MUTANTS))
def test_the_proof_detects_a_missing_mechanism(name):
    failing, _, _ = executions.run_schedules(1, 300, executions.MUTANTS[name])
    assert failing


def test_an_outage_of_the_store_refuses_new_operations_only():
    assert executions.outage_shares(1, operations=100) == [0, 1, 0]
