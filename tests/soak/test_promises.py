"""Each promise of the soak is broken by what it is meant to find."""

import pytest

from soak import history, promises
from trial.shared_platform import upstream


def exchange(request_id="r1", **changes):
    found = history.Exchange(
        request_id, "vm-1", "/claim/x", "key-0-a", 100.0, 100.1, 200, False,
        f"stamp-u1-{request_id}", f"u1 {request_id}".encode(),
    )  # fmt: skip
    return found._replace(**changes)


def execution(request_id="r1", **changes):
    found = upstream.Execution(
        request_id, "POST", "/claim/x", "organisation-0", b"", {}, 100.05, "u1"
    )
    return found._replace(**changes)


def judge(exchanges, executions, events=(), disturbed=()):
    seen = history.History()
    seen.exchanges.extend(exchanges)
    for event in events:
        seen.note(*event)
    for subject, begin, end in disturbed:
        seen.disturbed[subject].append([begin, end])
    runs = {}
    for each in executions:
        runs.setdefault(each.request_id, []).append(each)
    return set(promises.broken(seen, runs))


def test_a_run_without_faults_breaks_nothing():
    calm = (99.0, "calm", "")
    assert judge([exchange()], [execution()], [calm]) == set()


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
            [exchange(status=None, ended_by_vm=True)],
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
    ],
)
def test_a_promise_finds_what_breaks_it(name, exchanges, executions, events):
    assert name in judge(exchanges, executions, events)


@pytest.mark.parametrize("subject", ["vm-1", "store"])
def test_bounds_in_time_hold_for_vms_in_touch_only(subject):
    late = ([exchange()], [execution(at=103.0)], [(100.4, "upstream leaving", "u1")])
    assert judge(*late) == {"leaving_upstreams_get_nothing"}
    assert judge(*late, [(subject, 96.0, 97.0)]) == set()
    assert judge(*late, [("vm-2", 96.0, 97.0)]) == {"leaving_upstreams_get_nothing"}


@pytest.mark.parametrize(("late", "broken"), [(3, False), (4, True)])
def test_many_runs_for_callers_that_left_are_found(late, broken):
    seen = history.History()
    runs = {}
    for index in range(late + 1):
        name = f"left-{index}"
        seen.left[name] = (100.0, "vm-1")
        at = 100.4 if index == late else 100.6
        runs[name] = [execution(name, at=at)]
    found = promises.broken(seen, runs)
    assert ("nothing_runs_for_callers_that_left" in found) is broken
    seen.disturbed["vm-1"].append([97.0, 98.0])
    assert "nothing_runs_for_callers_that_left" not in promises.broken(seen, runs)
