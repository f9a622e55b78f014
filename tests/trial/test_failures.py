"""Tests of the failure checks, of scenario plans and of faulty stand-ins."""

import functools
import json
import os
import signal

import pytest
import trio

from trial import deployment, http_client, http_server
from trial.caller import settings
from trial.checks import answers, evidence, keys
from trial.failures import checks, experiment, facts, registry, scenario
from trial.upstream import behaviour, record
from trial.upstream import server as upstream_server

HOST = "127.0.0.1"
PLAN = deployment.DEPLOYMENTS["txiki"]
PLACES = deployment.assign_places(PLAN, 10, True)
VM = "bizkaia-1-vm1"
EMPTY = {
    "slots": 5,
    "most_in_flight": 0,
    "over_slots": 0,
    "outcomes": {},
    "identities": {},
    "executions": [],
    "arrivals": [],
    "received": [],
    "faulty": [],
}


def _attempt(sent, *, ended=None, status=200, kind="", vm=VM, request_id="urdina.1"):
    ended = sent + 0.1 if ended is None else ended
    return settings.Attempt(request_id, vm, sent, ended, status, "", kind, "")


def _evidence(attempts, key="urdina/main", run_facts=None):
    outcomes = [
        settings.Outcome(
            each.sent, each.ended, "urdina", key, "view", "view", "", "ok", [each]
        )
        for each in attempts
    ]
    report = settings.CallerReport(outcomes, 1, 0, 0.0)
    records = {each.name: dict(EMPTY) for each in PLACES.upstreams}
    run_facts = run_facts or evidence.Facts()
    return evidence.Evidence(PLAN, PLACES, {}, "token", report, records, run_facts)


def test_cut_response_is_excused_only_during_the_outage_of_its_vm():
    """Guards against a kill that also excuses cut responses before and after it."""
    run_facts = evidence.Facts()
    run_facts.outages[VM] = [(10.0, 15.0)]
    during = [
        _attempt(9.9, ended=10.01, status=0, kind="cut"),
        _attempt(12, status=0, kind="cut"),
    ]
    assert answers.find_broken_connections(_evidence(during, run_facts=run_facts)) == []
    outside = [
        _attempt(9.0, ended=9.9, status=0, kind="cut"),
        _attempt(15.1, status=0, kind="cut"),
        _attempt(12, status=0, kind="cut", vm="bizkaia-1-vm2"),
    ]
    assert (
        len(answers.find_broken_connections(_evidence(outside, run_facts=run_facts)))
        == 3
    )


@pytest.mark.parametrize(
    ("isolated", "last_allowed"),
    [
        ([], 23.0),
        ([(5.0, 15.0)], 23.0),
        ([(19.0, 21.0)], 24.0),
        ([(19.0, 25.0)], 28.0),
        ([(19.0, 60.0)], 30.0),
        ([(22.0, 24.0)], 27.0),
        ([(24.0, 60.0)], 23.0),
    ],
)
def test_isolation_extends_the_bound_of_a_withdrawn_key_to_10_s(isolated, last_allowed):
    """Guards against isolation that excuses a withdrawn key for more than 10 s."""
    run_facts = evidence.Facts()
    run_facts.withdrawn["urdina/old"] = 20.0
    run_facts.isolated[VM] = isolated

    def late(sent):
        run_evidence = _evidence([_attempt(sent)], "urdina/old", run_facts)
        return keys.find_withdrawn_keys_served(run_evidence)

    assert late(last_allowed - 0.01) == []
    assert len(late(last_allowed + 0.01)) == 1


def test_keyed_request_10_s_after_the_cut_is_found():
    """Guards against an isolated data centre that serves keyed routes on old keys."""
    failure_facts = facts.FailureFacts()
    failure_facts.cuts.append(facts.Cut(facts.EVERYTHING, ("bizkaia-1",), 10.0, 40.0))
    attempts = [_attempt(19.9), _attempt(20.1), _attempt(20.1, vm="navarra-1-vm1")]
    assert len(checks.find_keyed_in_cut(_evidence(attempts), failure_facts)) == 1
    assert checks.find_keyed_in_cut(_evidence(attempts, key=""), failure_facts) == []


def test_stopped_open_route_is_found():
    """Guards against a cut that stops open routes, or without any open request."""
    failure_facts = facts.FailureFacts()
    failure_facts.cuts.append(facts.Cut(facts.EVERYTHING, ("bizkaia-1",), 10.0, 40.0))
    good = [_attempt(20.0 + each) for each in range(9)]
    bad = _attempt(30.0, status=503, kind="no_capacity")
    assert checks.find_open_in_cut(_evidence([*good, bad], ""), failure_facts) == []
    assert (
        len(checks.find_open_in_cut(_evidence([*good, bad, bad], ""), failure_facts))
        == 1
    )
    assert len(checks.find_open_in_cut(_evidence([], ""), failure_facts)) == 1


def test_stale_keys_in_contact_are_found():
    """Guards against keyed routes that stop although peers relay the keys."""
    failure_facts = facts.FailureFacts()
    failure_facts.cuts.append(facts.Cut(facts.PLATFORM, ("bizkaia-1",), 10.0, 40.0))
    run_evidence = _evidence([_attempt(25, status=503, kind="keys_stale")])
    assert len(checks.find_needless_stale(run_evidence, failure_facts)) == 1


def test_missing_response_of_a_reachable_vm_is_found():
    """Guards against operations that hang while the store is unreachable."""
    failure_facts = facts.FailureFacts()
    failure_facts.cuts.append(facts.Cut(facts.PLATFORM, ("bizkaia-1",), 10.0, 40.0))
    hanging = [_attempt(20.0, ended=21.6, status=0, kind="timeout")]
    assert len(checks.find_missing_answers(_evidence(hanging), failure_facts)) == 1
    run_facts = evidence.Facts()
    run_facts.isolated[VM] = [(21.0, 25.0)]
    assert (
        checks.find_missing_answers(
            _evidence(hanging, run_facts=run_facts), failure_facts
        )
        == []
    )
    failure_facts.cuts.append(facts.Cut(facts.PEERS, ("navarra-1",), 10.0, 40.0))
    assert checks.find_missing_answers(_evidence(hanging), failure_facts) == []


def test_bad_version_above_its_share_and_after_it_was_found():
    """Guards against a bad version that gets more than 1%, or any after 5 s."""
    failure_facts = facts.FailureFacts()
    failure_facts.bad_versions.append(facts.BadVersion("m", 10.0, 30.0, ""))
    run_evidence = _evidence([])
    good = [
        record.Execution(15.0, "/listings/1", f"a{each}", "", "o")
        for each in range(199)
    ]
    run_evidence.records["l-01"]["executions"] = good
    bad = [
        record.Execution(15.0, "/listings/1", f"b{each}", "", "o") for each in range(3)
    ]
    run_evidence.records["l2-01"]["executions"] = bad
    run_evidence.records["l2-01"]["faulty"] = ["b0", "b1"]
    assert checks.find_bad_share(run_evidence, failure_facts) == []
    run_evidence.records["l2-01"]["faulty"] = ["b0", "b1", "b2"]
    assert len(checks.find_bad_share(run_evidence, failure_facts)) == 1
    assert checks.find_requests_after_rollback(run_evidence, failure_facts) == []
    (text,) = checks.describe_bad_versions(run_evidence, failure_facts)
    assert "3 requests hit, the first 5.00 s after" in text
    assert "rolled back 15.00 s after the first" in text
    bad.append(record.Execution(35.1, "/listings/1", "c", "", "o"))
    assert len(checks.find_requests_after_rollback(run_evidence, failure_facts)) == 1


def test_duplicate_execution_across_a_crash_is_kept():
    """Guards against a restart of an upstream that hides a duplicate execution."""
    first = {**EMPTY, "identities": {"op": 1}, "arrivals": [1.0], "over_slots": 1}
    second = {**EMPTY, "identities": {"op": 1}, "arrivals": [2.0], "over_slots": 2}
    merged = experiment.merge_records(first, second)
    assert merged["identities"] == {"op": 2}
    assert (merged["arrivals"], merged["over_slots"]) == ([1.0, 2.0], 3)
    assert merged.keys() == EMPTY.keys()


def test_scenarios_repeat_for_the_same_seed():
    """Guards against a failed run that cannot be reproduced from its seed."""
    for name in ("kill", "kill+pause-8", "kill*2"):
        assert scenario.plan_scenario(name, 3) == scenario.plan_scenario(name, 3)
        assert scenario.plan_scenario(name, 3) != scenario.plan_scenario(name, 4)
    names = scenario.choose_names("all", 1)
    assert names == scenario.choose_names("all", 1)
    assert set(registry.FAILURES) <= set(names)
    assert all(scenario.plan_scenario(name, 1).starts for name in names)


def test_unknown_failure_is_rejected():
    """Guards against a misspelt scenario that passes without injecting a failure."""
    with pytest.raises(ValueError, match="accepted: "):
        scenario.plan_scenario("kill+typo", 1)


def _with_upstream(test):
    async def main():
        identity = upstream_server.Identity("u", "s", "v1", 2, 10)
        fast = behaviour.Behaviour(service_ms=1, spread=0)
        stand_in = upstream_server.UpstreamServer(identity, fast, 1)
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(http_server.serve, HOST, 0, stand_in.answer)
            port = listeners[0].socket.getsockname()[1]
            await test(functools.partial(http_client.request, HOST, port), port)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_stray_response_leaves_its_connection_open():
    """Guards against a connection that is closed before it can be reused."""

    async def test(request, port):
        await request("POST", "/.control", {"answer": "stray", "answer_count": 1})
        stream = await trio.open_tcp_stream(HOST, port)
        data = b""
        for number in (b"1", b"2"):
            await stream.send_all(b"GET /" + number + b" HTTP/1.1\r\nHost: x\r\n\r\n")
            with trio.move_on_after(0.3):
                while True:
                    data += await stream.receive_some()
        assert data.count(b"HTTP/1.1 200") == 3
        assert b"connection: close" not in data.lower()
        await stream.aclose()

    _with_upstream(test)


@pytest.mark.parametrize(("report", "in_flight"), [("idle", 0), ("full", 2)])
def test_wrong_report(report, in_flight):
    """Guards against a load report that stays correct."""

    async def test(request, port):
        await request("POST", "/.control", {"report": report})
        assert (await request("GET", "/.load")).json()["in_flight"] == in_flight

    _with_upstream(test)


def test_stopped_report():
    """Guards against a load report that is still sent."""

    async def test(request, port):
        await request("POST", "/.control", {"report": "stopped"})
        with pytest.raises(http_client.FAILURES):
            await request("GET", "/.load")
        assert (await request("GET", "/x")).status == 200

    _with_upstream(test)


def test_crash_writes_the_record_before_the_process_ends(tmp_path, monkeypatch):
    """Guards against executions that are lost with a killed upstream."""
    killed = []
    monkeypatch.setattr(os, "kill", lambda pid, number: killed.append((pid, number)))
    path = tmp_path / "record.json"

    async def test(request, port):
        await request("POST", "/x", {}, headers={"Idempotency-Key": "op"})
        await request("POST", "/.crash", {"record": str(path)})

    _with_upstream(test)
    assert json.loads(path.read_text())["identities"] == {"op": 1}
    assert killed == [(os.getpid(), signal.SIGKILL)]
