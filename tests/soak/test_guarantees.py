"""Checks that each guarantee of the soak test detects its violation."""

import pytest

from soak import guarantees, history
from trial.shared_platform import upstream


def exchange(request_id="r1", **changes):
    default = history.Exchange(
        request_id, "vm-1", "/claim/x", "key-0-a", 100.0, 100.1, 200, False,
        f"stamp-u1-{request_id}", f"u1 {request_id}".encode(),
    )  # fmt: skip
    return default._replace(**changes)


def execution(request_id="r1", **changes):
    default = upstream.Execution(
        request_id, "POST", "/claim/x", "organisation-0", b"", {}, 100.05, "u1"
    )
    return default._replace(**changes)


def broken_guarantees(exchanges, executions, events=(), disturbances=()):
    observations = history.History()
    observations.exchanges.extend(exchanges)
    for event in events:
        observations.record_event(*event)
    for subject, begin, end in disturbances:
        observations.disturbances[subject].append([begin, end])
    by_request = {}
    for each in executions:
        by_request.setdefault(each.request_id, []).append(each)
    return set(guarantees.broken(observations, by_request))


def test_run_without_faults_violates_nothing():
    calm = (99.0, "calm", "")
    assert broken_guarantees([exchange()], [execution()], [calm]) == set()


@pytest.mark.parametrize(
    ("name", "exchanges", "executions", "events"),
    [
        (
            "once_only_requests_run_once",
            [exchange()],
            [execution(), execution(upstream="u2")],
            [],
        ),
        ("not_run_is_true", [exchange(status=503)], [execution()], []),
        ("answers_are_the_caller_s_own", [exchange(body=b"u1 r2")], [execution()], []),
        ("answers_are_the_caller_s_own", [exchange(stamp="")], [execution()], []),
        (
            "keys_stay_here_and_name_the_organisation",
            [exchange()],
            [execution(headers={"authorization": "Token key-0-a"})],
            [],
        ),
        (
            "keys_stay_here_and_name_the_organisation",
            [exchange()],
            [execution(organisation="organisation-1")],
            [],
        ),
        (
            "withdrawn_keys_stop",
            [exchange(sent_at=106.0)],
            [execution()],
            [(100.5, "key withdrawn", "key-0-a")],
        ),
        (
            "rates_hold",
            [exchange(f"r{n}", sent_at=110.0) for n in range(60)],
            [execution(f"r{n}", at=110.0) for n in range(60)],
            [(100.0, "rate set", "organisation-0 2 2 inf")],
        ),
        (
            "leaving_upstreams_get_nothing",
            [exchange()],
            [execution(at=103.0)],
            [(100.4, "upstream leaving", "u1")],
        ),
        (
            "stops_cut_no_request",
            [exchange(status=None, closed_by_vm=True)],
            [execution()],
            [(99.0, "vm stopping", "vm-1 101.0")],
        ),
        ("stops_end_in_time", [], [], [(99.0, "vm stopped", "vm-1 -1")]),
        (
            "accepted_states_are_in_force",
            [exchange(path="/route-1/x", status=404)],
            [],
            [(97.0, "route added", "route-1")],
        ),
        ("service_recovers", [exchange(status=503)], [], [(99.0, "calm", "")]),
        ("service_recovers", [], [], [(99.0, "calm", "")]),
        # Nine are owed, of which one is served.
        (
            "service_recovers",
            [exchange(), *[exchange("r2", status=429, sent_at=101.0)] * 9],
            [],
            [(99.0, "calm", ""), (98.0, "rate set", "organisation-0 5 1 inf")],
        ),
    ],
)
def test_guarantee_detects_its_violation(name, exchanges, executions, events):
    assert name in broken_guarantees(exchanges, executions, events)


@pytest.mark.parametrize("subject", ["vm-1", "store"])
def test_time_limits_apply_to_undisturbed_vms_only(subject):
    late = ([exchange()], [execution(at=103.0)], [(100.4, "upstream leaving", "u1")])
    assert broken_guarantees(*late) == {"leaving_upstreams_get_nothing"}
    assert broken_guarantees(*late, [(subject, 96.0, 97.0)]) == set()
    assert broken_guarantees(*late, [("vm-2", 96.0, 97.0)]) == {
        "leaving_upstreams_get_nothing"
    }


@pytest.mark.parametrize(("late", "broken"), [(3, False), (4, True)])
def test_many_executions_for_disconnected_callers_are_a_violation(late, broken):
    observations = history.History()
    by_request = {}
    for index in range(late + 1):
        name = f"left-{index}"
        observations.disconnects[name] = (100.0, "vm-1")
        at = 100.4 if index == late else 100.6
        by_request[name] = [execution(name, at=at)]
    violated = guarantees.broken(observations, by_request)
    assert ("nothing_runs_for_callers_that_left" in violated) is broken
    observations.disturbances["vm-1"].append([97.0, 98.0])
    assert "nothing_runs_for_callers_that_left" not in guarantees.broken(
        observations, by_request
    )


# Guards against late requests that only the run saw late, because it stalled.
@pytest.mark.parametrize(
    ("stalled", "process", "broken"),
    [
        ([], "", True),
        # Before the disconnect, too short, and of a process that only sends.
        ([(98.0, 100.0)], "", True),
        ([(100.1, 100.19)], "", True),
        ([(100.1, 100.59)], "callers 0", True),
        ([(100.1, 100.22)], "", False),
    ],
)
def test_stalls_are_no_delay_of_requests_of_callers_that_left(stalled, process, broken):
    observations = history.History()
    by_request = {}
    for index in range(4):
        name = f"left-{index}"
        observations.disconnects[name] = (100.0, "vm-1")
        by_request[name] = [execution(name, at=100.6)]
    observations.stalls[process] = stalled
    violated = guarantees.broken(observations, by_request)
    assert ("nothing_runs_for_callers_that_left" in violated) is broken


# Guards against a drain that looks late because the store told of it late.
@pytest.mark.parametrize(
    ("stalled", "broken"),
    [
        ({}, True),
        ({"": [(99.0, 100.4)], "callers 0": [(100.4, 103.0)]}, True),
        ({"": [(100.5, 100.59)]}, True),
        ({"": [(100.5, 100.7)]}, False),
        # Both at once count once.
        ({"": [(100.5, 100.56)], "upstreams 0": [(100.5, 100.56)]}, True),
        ({"": [(100.5, 100.56)], "upstreams 0": [(100.6, 100.66)]}, False),
    ],
)
def test_stalls_are_no_delay_of_a_drain(stalled, broken):
    observations = history.History()
    observations.exchanges.append(exchange())
    observations.record_event(100.4, "upstream leaving", "u1")
    observations.stalls.update(stalled)
    runs = {"r1": [execution(at=103.0, process="upstreams 0")]}
    assert (
        "leaving_upstreams_get_nothing" in guarantees.broken(observations, runs)
    ) is (broken)


# Guards against requests that a silent network delivered after their callers had left.
@pytest.mark.parametrize(
    ("upstream_name", "begin", "end", "broken"),
    [
        ("u1", 97.0, 100.6, False),
        ("u1", 100.1, 100.2, False),
        ("u1", 97.0, 99.9, True),
        ("u2", 97.0, 100.6, True),
    ],
)
def test_a_disturbed_way_holds_requests_up(upstream_name, begin, end, broken):
    observations = history.History()
    by_request = {}
    for index in range(4):
        name = f"left-{index}"
        observations.disconnects[name] = (100.0, "vm-1")
        by_request[name] = [execution(name, at=100.6)]
    observations.disturbances[upstream_name].append([begin, end])
    violated = guarantees.broken(observations, by_request)
    assert ("nothing_runs_for_callers_that_left" in violated) is broken
