"""Records of the time in which a process of the run got no processor."""

import time

import pytest
import trio

from soak import deployment, guarantees, history, run, stalls


def test_a_stall_is_recorded_from_the_moment_at_which_it_delayed():
    observations = history.History()

    async def stall():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stalls.watch, observations)
            await trio.sleep(0.05)
            begin = trio.current_time()
            time.sleep(0.2)
            end = trio.current_time()
            await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        return begin, end

    begin, end = trio.run(stall)
    recorded = observations.stalls[history.RUN]
    within = stalls.seconds_within(recorded, begin, end)
    # The watch was due at most one tick after the begin.
    assert 0.17 < within <= end - begin


def test_only_the_part_inside_an_interval_counts():
    recorded = [(1.0, 2.0), (3.0, 4.0), (6.0, 7.0)]
    assert stalls.seconds_within(recorded, 1.5, 3.5) == pytest.approx(1.0)
    assert stalls.seconds_within(recorded, 4.0, 6.0) == 0.0
    assert stalls.seconds_within(recorded, 0.0, float("inf")) == pytest.approx(3.0)
    assert stalls.seconds_within([], 0.0, 9.0) == 0.0


def test_stalls_of_several_processes_count_once():
    joined = stalls.joined([(1.0, 2.0), (5.0, 6.0)], [(1.5, 3.0), (3.0, 4.0)])
    assert joined == [(1.0, 4.0), (5.0, 6.0)]


def test_all_requests_know_the_stalls_of_their_callers():
    observations = history.History()
    answered = history.Exchange(
        "r1", "vm-1", "/view/x", "key-0-a", 100.0, 100.5, 200, False, "", b""
    )
    observations.exchanges = [
        answered,
        answered._replace(sent_at=101.0, ended_at=102.0),
    ]
    observations.stalls[history.RUN] = [(100.3, 100.4)]
    stalls.attribute(observations)
    assert [each.stalled for each in observations.exchanges] == pytest.approx(
        [0.1, 0.0]
    )


# Guards against requests that end in the run's last moments, late by a stall of the run
# that isn't taken off.
def test_a_stall_at_the_end_of_a_run_is_attributed(monkeypatch):
    seen = []
    unexpected_ends, broken = deployment.Deployment.unexpected_ends, guarantees.broken

    def stall(deployed):
        begin = trio.current_time()
        time.sleep(0.4)
        end = trio.current_time()
        request = ("last", "vm-0", "/view/x", "key-0-a", begin, end)
        last = history.Exchange(*request, 504, False, "", b"")
        deployed.observations.exchanges.append(last)
        return unexpected_ends(deployed)

    def record(observations, executions):
        seen.extend(observations.exchanges)
        return broken(observations, executions)

    monkeypatch.setattr(deployment.Deployment, "unexpected_ends", stall)
    monkeypatch.setattr(guarantees, "broken", record)
    trio.run(run.execute, run.Options(5, 1.0, 2, 3, only="state_changed"))
    (last,) = [each for each in seen if each.request_id == "last"]
    assert 0.3 < last.stalled <= last.ended_at - last.sent_at
