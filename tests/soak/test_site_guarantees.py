"""Checks that each guarantee of a site's run detects its violation."""

import pytest

from soak import guarantees, history, site_guarantees, site_upstream, sites
from trial.shared_platform import upstream

CUT = history.Exchange(
    "r1", "vm-1", "/claim/x", "key-0-a", 100.0, 100.5, None, True, "", b""
)
RUN = upstream.Execution(
    "r1", "POST", "/claim/x", "organisation-0", b"", {}, 100.1, "u1"
)


def site_history():
    return history.History(sites.SITES["txiki-swap"])


def violated(observations, *runs):
    executions = {each.request_id: [each] for each in runs}
    return set(guarantees.broken(observations, executions))


@pytest.mark.parametrize(
    ("exchange", "runs", "broken"),
    [
        # Passed on, then closed or reset.
        (CUT, [RUN], True),
        (CUT._replace(reset=True, ended_at=100.12), [RUN], True),
        # Read and not passed on; crossed the close; not read.
        (CUT, [], True),
        (CUT._replace(ended_at=100.1), [], False),
        (CUT._replace(reset=True), [], False),
    ],
)
def test_requests_without_an_answer_are_found(exchange, runs, broken):
    observations = site_history()
    observations.exchanges.append(exchange)
    assert ("every_request_is_answered" in violated(observations, *runs)) is broken
    by_request = {each.request_id: [each] for each in runs}
    counts = site_guarantees.unjudged_closes(observations, by_request)
    assert sum(counts.values()) == (not broken)


@pytest.mark.parametrize("subject", ["vm-1", "u1"])
def test_killed_vms_and_crashed_upstreams_excuse_a_close(subject):
    observations = site_history()
    observations.exchanges.append(CUT)
    observations.disturbances[subject].append([100.3, 101.0])
    assert violated(observations, RUN) == set()


# Guards against LOST that bytes without end excuse: their VM can answer all the same.
@pytest.mark.parametrize(
    ("disturbances", "sent_endlessly", "reason"),
    [
        ([], set(), "upstream broke off"),
        ([], {"r1"}, ""),
        ([[100.3, 100.3]], {"r1"}, "upstream broke off"),
    ],
)
def test_bytes_without_end_excuse_no_close(disturbances, sent_endlessly, reason):
    observations = site_history()
    observations.exchanges.append(CUT)
    observations.broken_off.add("r1")
    observations.sent_endlessly.update(sent_endlessly)
    observations.disturbances["u1"].extend(disturbances)
    counts = site_guarantees.unjudged_closes(observations, {"r1": [RUN]})
    assert counts == ({reason: 1} if reason else {})
    assert violated(observations, RUN) == (
        set() if reason else {"every_request_is_answered"}
    )


def test_bytes_without_end_excuse_an_own_answer_at_a_stop():
    observations = site_history()
    own = CUT._replace(status=502, closed_by_vm=False, limit=2.0)
    observations.exchanges.append(own)
    observations.stops["vm-1"].append([100.2, 106.0])
    assert violated(observations, RUN) == {"stops_replace_no_answer"}
    for seen in (observations.broken_off, observations.sent_endlessly):
        seen.add("r1")
    assert violated(observations, RUN) == set()


@pytest.mark.parametrize(
    ("disturbed_since", "kills", "runs", "reason"),
    [
        (100.4, [100.4], [RUN], "vm killed under it"),
        # Cut by the next process, which was starting.
        (99.0, [99.0], [RUN], ""),
        (99.0, [99.0], [], "vm starting"),
        # Cut before the kill, and long before it.
        (100.6, [100.6], [RUN], ""),
        (99.0, [], [RUN], "vm suspended"),
    ],
)
def test_a_kill_excuses_only_what_it_ended(disturbed_since, kills, runs, reason):
    observations = site_history()
    observations.exchanges.append(CUT)
    observations.disturbances["vm-1"].append([disturbed_since, 105.0])
    observations.kills["vm-1"].extend(kills)
    by_request = {each.request_id: [each] for each in runs}
    counts = site_guarantees.unjudged_closes(observations, by_request)
    assert counts == ({reason: 1} if reason else {})


# An answer of a stopping VM in place of one that the upstream was working on.
@pytest.mark.parametrize(
    ("changes", "stop", "broken"),
    [
        ({}, [100.2, 106.0], True),
        ({}, [100.7, 106.0], False),
        ({"stamp": "stamp-u1-r1"}, [100.2, 106.0], False),
        ({"limit": 0.6}, [100.2, 106.0], True),
        ({"limit": 0.5}, [100.2, 106.0], False),
    ],
)
def test_answers_that_replace_work_at_a_stop_are_found(changes, stop, broken):
    observations = site_history()
    own = CUT._replace(status=502, closed_by_vm=False, limit=2.0)
    observations.exchanges.append(own._replace(**changes))
    observations.stops["vm-1"].append(stop)
    assert ("stops_replace_no_answer" in violated(observations, RUN)) is broken
    observations.disturbances["vm-1"].append([97.0, 97.5])
    assert "stops_replace_no_answer" not in violated(observations, RUN)


# Guards against early 504s that aren't judged in the last quarter of a request's time,
# here of 1.0 s, or at the VM's next process.
@pytest.mark.parametrize(
    ("taken", "broken"), [(0.7, True), (0.98, True), (1.0, False), (1.02, False)]
)
@pytest.mark.parametrize(
    ("stop", "sigterm"),
    [
        # During the stop.
        ([99.0, 106.0], [99.0]),
        # At the next process, which was ready at once.
        ([94.5, 95.0], [94.5]),
        # Beside a second signal, which the first process got.
        ([90.0, 95.0], [90.0, 94.5]),
    ],
)
def test_answers_just_before_the_deadline_are_found(stop, sigterm, taken, broken):
    observations = site_history()
    own = CUT._replace(status=504, closed_by_vm=False, limit=1.0)
    observations.exchanges.append(own._replace(ended_at=100.0 + taken))
    observations.stops["vm-1"].append(stop)
    observations.terminations["vm-1"].extend(sigterm)
    assert ("stops_replace_no_answer" in violated(observations, RUN)) is broken


# The grace period is 6 s; a stop is judged until 1 s after it.
@pytest.mark.parametrize(("sigterm", "broken"), [(93.1, True), (92.9, False)])
def test_answers_are_judged_until_a_stop_is_over(sigterm, broken):
    observations = site_history()
    own = CUT._replace(status=504, closed_by_vm=False, limit=1.0, ended_at=100.9)
    observations.exchanges.append(own)
    observations.stops["vm-1"].append([sigterm, sigterm + 1.0])
    observations.terminations["vm-1"].append(sigterm)
    assert ("stops_replace_no_answer" in violated(observations, RUN)) is broken


# The next process is ready late; the rule ends 1 s after the grace period all the same.
@pytest.mark.parametrize(("sigterm", "broken"), [(93.1, True), (92.9, False)])
def test_a_stop_is_over_though_the_next_process_is_not_ready(sigterm, broken):
    observations = site_history()
    own = CUT._replace(status=504, closed_by_vm=False, limit=1.0, ended_at=100.9)
    observations.exchanges.append(own)
    observations.stops["vm-1"].append([sigterm, 105.0])
    observations.terminations["vm-1"].append(sigterm)
    assert ("stops_replace_no_answer" in violated(observations, RUN)) is broken


# The route has a timeout of 1.2 s, and of 0.96 s by the state with the factor 0.8.
@pytest.mark.parametrize(
    ("path", "taken", "states", "disturbed", "broken"),
    [
        ("/claim/x", 1.18, [(10.0, 1.0)], None, True),
        ("/claim/x", 1.21, [(10.0, 1.0)], None, False),
        # An added route is a copy of the first one, with 1.0 s.
        ("/route-0/x", 0.98, [(10.0, 1.0)], None, True),
        ("/route-0/x", 1.01, [(10.0, 1.0)], None, False),
        # Written before the request, during it and after it.
        ("/claim/x", 0.94, [(10.0, 1.0), (99.0, 0.8)], None, True),
        ("/claim/x", 0.97, [(10.0, 1.0), (99.0, 0.8)], None, False),
        ("/claim/x", 0.97, [(10.0, 1.0), (100.5, 0.8)], None, False),
        ("/claim/x", 0.97, [(10.0, 1.0), (101.5, 0.8)], None, True),
        # Replaced for less, and for more, than the time in which states get in force.
        ("/claim/x", 0.97, [(10.0, 0.8), (97.6, 1.0)], None, False),
        ("/claim/x", 0.97, [(10.0, 0.8), (97.4, 1.0)], None, True),
        # Replaced while the store was disturbed; in touch again since 97.4 and 97.6 s.
        ("/claim/x", 0.97, [(10.0, 0.8), (90.0, 1.0)], [89.0, 93.4], True),
        ("/claim/x", 0.97, [(10.0, 0.8), (90.0, 1.0)], [89.0, 93.6], False),
        # Disturbed again once it was in force.
        ("/claim/x", 0.97, [(10.0, 0.8), (80.0, 1.0)], [83.0, 99.0], True),
    ],
)
def test_answers_are_judged_by_timeouts_that_may_be_in_force(
    path, taken, states, disturbed, broken
):
    observations = site_history()
    own = CUT._replace(status=504, closed_by_vm=False, limit=2.5, path=path)
    observations.exchanges.append(own._replace(ended_at=100.0 + taken))
    observations.terminations["vm-1"].append(99.5)
    for version, (at, factor) in enumerate(states):
        observations.states.append(history.State(version, at, factor))
    if disturbed:
        observations.disturbances["store"].append(disturbed)
    run = RUN._replace(path=path)
    assert ("stops_replace_no_answer" in violated(observations, run)) is broken


def test_neither_a_stop_nor_the_store_excuses_a_close():
    observations = site_history()
    observations.exchanges.append(CUT)
    observations.stops["vm-1"].append([99.0, 105.0])
    for subject in ("store", history.store_of("vm-1")):
        observations.disturbances[subject].append([99.0, 105.0])
    assert violated(observations, RUN) == {"every_request_is_answered"}


@pytest.mark.parametrize(("count", "broken"), [(16, False), (17, True)])
def test_floods_of_a_cold_upstream_are_found(count, broken):
    observations = site_history()
    observations.cold_limits["u1"] = 7.4
    observations.cold_arrivals["u1"] = [
        site_upstream.Arrival(f"r{index}", 100.0 + index / 20.0, 0.5)
        for index in range(count)
    ]
    assert ("cold_upstreams_are_not_flooded" in violated(observations)) is broken
    observations.cold_arrivals["u1"][0] = site_upstream.Arrival("r0", 100.0, 0.5, False)
    assert "cold_upstreams_are_not_flooded" not in violated(observations)
    assert site_guarantees.most_cold_share(observations) == pytest.approx(count / 16.1)


@pytest.mark.parametrize(("count", "broken"), [(7, False), (8, True)])
def test_requests_beyond_their_time_limit_are_found(count, broken):
    observations = site_history()
    late = CUT._replace(ended_at=101.8, closed_by_vm=False)
    observations.exchanges.extend([late] * count)
    found = violated(observations)
    assert found == ({"requests_end_by_their_time_limit"} if broken else set())


# Guards against requests that a stalled process of callers saw end late.
@pytest.mark.parametrize(
    ("stalled", "broken"), [(0.0, True), (0.05, True), (0.2, False)]
)
def test_stalls_of_callers_are_no_time_of_requests(stalled, broken):
    observations = site_history()
    late = CUT._replace(ended_at=101.8, closed_by_vm=False, stalled=stalled)
    observations.exchanges.extend([late] * 8)
    assert ("requests_end_by_their_time_limit" in violated(observations)) is broken


# Guards against counting requests that were sent before the second in question.
@pytest.mark.parametrize(("early", "broken"), [(0, True), (1, False)])
def test_floods_are_of_requests_that_were_sent_in_that_second(early, broken):
    observations = site_history()
    observations.cold_limits["u1"] = 7.4
    observations.cold_arrivals["u1"] = [
        site_upstream.Arrival(f"r{index}", 100.0 + index / 20.0, 0.5)
        for index in range(17)
    ]
    observations.exchanges = [
        CUT._replace(request_id=f"r{index}", sent_at=99.5 if index < early else 99.85)
        for index in range(17)
    ]
    found = violated(observations)
    assert ("cold_upstreams_are_not_flooded" in found) is broken


def test_runs_at_another_service_are_found():
    observations = site_history()
    observations.services["u1"] = "service-1"
    assert violated(observations, RUN) == set()
    observations.services["u1"] = "service-2"
    assert violated(observations, RUN) == {"requests_run_at_their_service"}


def test_denials_of_what_is_allowed_are_found():
    observations = site_history()
    denied = CUT._replace(status=401, closed_by_vm=False)
    observations.exchanges.append(denied)
    assert violated(observations) == {"allowed_requests_are_not_denied"}
    observations.exchanges.append(denied._replace(path="/route-0/x", status=404))
    observations.record_event(99.0, "key withdrawn", "key-0-a")
    assert violated(observations) == set()


def test_late_starts_are_found_while_the_store_answers():
    observations = site_history()
    observations.record_event(100.0, "vm started", "vm-1 12.00")
    assert violated(observations) == {"started_vms_get_ready"}
    observations.disturbances["store"].append([101.0, 102.0])
    assert violated(observations) == set()


# Guards against starts that were late because the run, which plays the store, stalled.
@pytest.mark.parametrize(
    ("stalled", "broken"),
    [
        ([], True),
        ([(90.0, 100.0), (112.0, 115.0)], True),
        ([(101.0, 102.9)], True),
        ([(101.0, 102.0), (103.0, 104.1)], False),
    ],
)
def test_stalls_are_no_time_of_a_start(stalled, broken):
    observations = site_history()
    observations.record_event(100.0, "vm started", "vm-1 12.00")
    observations.stalls[history.RUN] = stalled
    assert ("started_vms_get_ready" in violated(observations)) is broken


def test_processes_beyond_their_memory_are_found():
    observations = site_history()
    observations.memory_mb = {"vm-1-1": 301.0}
    assert violated(observations) == {"processes_stay_within_their_memory"}
    observations.memory_mb = {"vm-1-1": 299.0}
    assert violated(observations) == set()
    observations.private_mb["vm-1-1"] = 301.0
    assert violated(observations) == {"processes_stay_within_their_memory"}
