"""Tests of the checks: each detects its violation and raises no false alarm."""

import base64

import pytest

from trial import deployment
from trial.caller import settings
from trial.checks import answers, evidence, execution, keys, limits, windows

KEY = "a secret/key"


@pytest.fixture
def facts():
    return evidence.Facts()


def _attempt(request_id="urdina.1", **values):
    default = settings.Attempt(request_id, "vm1", 10.0, 10.1, 200, "", "", "")
    return default._replace(**values)


def _evidence(
    facts, attempts=(), record=(), identity="", result="ok", key="urdina/old"
):
    plan = deployment.small(deployment.DEPLOYMENTS["txiki"])
    places = deployment.assign_places(plan, 10, False)
    empty = {
        "slots": 5,
        "most_in_flight": 1,
        "over_slots": 0,
        "identities": {},
        "executions": [],
        "arrivals": [],
        "received": [],
    }
    records = {each.name: dict(empty) for each in places.upstreams}
    records["l-01"] |= dict(record)
    outcome = settings.Outcome(
        10.0, 10.1, "urdina", key, "view", "view", identity, result, list(attempts)
    )
    report = settings.CallerReport([outcome], 1, 0, 0.0)
    secrets = {"urdina/old": KEY}
    return evidence.Evidence(plan, places, secrets, "token!", report, records, facts)


def _executed(*request_ids, began=10.05):
    return {
        "executions": [[began, "/listings", each, "", each[:6]] for each in request_ids]
    }


def test_duplicate_execution_is_found_across_upstreams(facts):
    """Guards against counting the executions of each upstream separately."""
    run_evidence = _evidence(facts, record={"identities": {"op": 1}})
    assert execution.find_repeated_executions(run_evidence) == []
    run_evidence.records["c-01"]["identities"] = {"op": 1}
    assert len(execution.find_repeated_executions(run_evidence)) == 1


def test_false_not_executed_is_found(facts):
    """Guards against trusting a rejection without comparing upstream records."""
    rejected = _attempt(status=503, ran="no", kind="no_capacity")
    assert execution.find_executed_despite_not_run(_evidence(facts, [rejected])) == []
    run_evidence = _evidence(facts, [rejected], _executed("urdina.1"))
    assert len(execution.find_executed_despite_not_run(run_evidence)) == 1


def test_execution_for_another_organisation_is_found(facts):
    """Guards against a request that is charged to an organisation without its key."""
    run_evidence = _evidence(facts, record=_executed("urdina.1"))
    assert execution.find_executions_for_other_organisation(run_evidence) == []
    run_evidence.records["l-01"]["executions"][0][4] = "gorria"
    assert len(execution.find_executions_for_other_organisation(run_evidence)) == 1


def test_success_without_execution_is_found(facts):
    """Guards against a response that no upstream sent, or for another operation."""
    run_evidence = _evidence(facts, [_attempt()], identity="op")
    assert len(execution.find_successes_without_execution(run_evidence)) == 1


def test_work_after_drain_is_found(facts):
    """Guards against ignoring requests that a draining upstream rejected."""
    facts.leaving["l-01"] = 10.0
    assert not execution.find_work_after_drain(
        _evidence(facts, record={"arrivals": [12.9]})
    )
    assert execution.find_work_after_drain(
        _evidence(facts, record={"arrivals": [13.1]})
    )


def test_each_request_above_the_slots_counts(facts):
    """Guards against counting an upstream's excess requests as one violation."""
    run_evidence = _evidence(facts, record={"over_slots": 2})
    assert len(execution.find_overloaded_upstreams(run_evidence)) == 2


def test_wrong_response_is_found(facts):
    """Guards against counting a damaged response as a cut connection."""
    run_evidence = _evidence(facts, [_attempt(fault="body is incomplete or damaged")])
    assert len(answers.find_wrong_answers(run_evidence)) == 1
    assert answers.find_broken_connections(run_evidence) == []


def test_only_cuts_of_a_killed_vm_are_excused(facts):
    """Guards against excusing cuts before the kill or at other VMs."""
    cut = _attempt(status=0, kind="cut", fault="reset")
    assert len(answers.find_broken_connections(_evidence(facts, [cut]))) == 1
    facts.killed["vm1"] = 10.05
    assert answers.find_broken_connections(_evidence(facts, [cut])) == []
    facts.killed["vm1"] = 10.15
    assert len(answers.find_broken_connections(_evidence(facts, [cut]))) == 1


@pytest.mark.parametrize("data", [KEY, "a%20secret%2Fkey", "token!"])
def test_key_at_an_upstream_is_found(facts, data):
    """Guards against a key that leaks in percent-encoded form."""
    received = [base64.b64encode(f"GET /x?y={data}\n".encode()).decode()]
    run_evidence = _evidence(facts, record={"received": received})
    assert len(keys.find_keys_at_upstreams(run_evidence)) == 1


def test_withdrawn_key_served_late_is_found(facts):
    """Guards against serving a withdrawn key for more than 3 s."""
    facts.withdrawn["urdina/old"] = 6.9
    assert len(keys.find_withdrawn_keys_served(_evidence(facts, [_attempt()]))) == 1
    facts.withdrawn["urdina/old"] = 7.1
    assert keys.find_withdrawn_keys_served(_evidence(facts, [_attempt()])) == []


def test_excess_counts_only_events_that_lie_in_the_window():
    """Guards against false alarms due to network delay, and against missed excess."""
    steady = [(i / 10, i / 10 + 0.05) for i in range(100)]
    assert windows.largest_excess(steady, 10, 2) <= 0
    burst = [(5.0, 5.0)] * 12
    assert windows.largest_excess(burst, 10, 10) == pytest.approx(2)
    # Admitted at unknown times within 5 s, in which 10 * 5 + 2 are allowed.
    unknown = [(0.0, 5.0)] * 52
    assert windows.largest_excess(unknown, 10, 2) <= 0


def test_organisation_above_its_rate_is_found(facts):
    """Guards against attributing executions to the wrong organisation."""
    names = [f"urdina.{i}" for i in range(125)]
    sent = [_attempt(each, sent=10.05) for each in names]
    run_evidence = _evidence(facts, sent, _executed(*names))
    assert len(limits.find_rate_excess(run_evidence)) == 5


def test_move_above_its_cap_is_found(facts):
    """Guards against counting requests of the old version or after the move."""
    names = [f"urdina.{i}" for i in range(5)]
    sent = [_attempt(each, sent=10.0) for each in names]
    move = evidence.MoveFacts("m", 9.0, 20.0, 15.0, "done", "", 3.0)
    facts.moves.append(move)
    run_evidence = _evidence(facts, sent, _executed(*names))
    assert limits.find_moves_above_cap(run_evidence) == []
    run_evidence.records["l2-01"] |= _executed(*names)
    assert len(limits.find_moves_above_cap(run_evidence)) == 2
    facts.moves[0] = move._replace(ended=9.5)
    assert limits.find_moves_above_cap(run_evidence) == []


def test_late_version_is_found(facts):
    """Guards against a change that takes more than 5 s to be in force."""
    facts.in_force_s += [(1, 4.9), (2, 5.1)]
    assert len(limits.find_slow_activations(_evidence(facts))) == 1
