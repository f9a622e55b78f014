"""Tests for at most one execution and no false "not run", under faults."""

import pytest

from tests.proofs import executions


def test_no_schedule_executes_operation_twice():
    failing, results, _ = executions.run_schedules(1, 1000)
    assert not failing, failing[0]
    assert results["answer"] > 0


@pytest.mark.parametrize("name", sorted(executions.MUTANTS))
def test_simulation_detects_missing_mechanism(name):
    failing, _, _ = executions.run_schedules(1, 300, executions.MUTANTS[name])
    assert failing


def test_store_outage_rejects_new_operations_only():
    assert executions.outage_shares(1, operations=100) == [0, 1, 0]
