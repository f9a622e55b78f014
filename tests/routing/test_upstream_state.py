"""Tests of upstreams that leave, fail or send wrong load reports."""

import random

import pytest

from rattanlug.routing import load_report, policy, registry, upstream_state

SOURCE = upstream_state.LeavingSource


def respond(state, now, *, failed=False, latency=0.1):
    state.finish(state.start(now - latency), now, failed=failed)


def report(in_flight=0, *, draining=False):
    return load_report.LoadReport(in_flight, 5, draining, "v1")


def test_earliest_leaving_source_counts():
    """Guards against a later source that postpones the time of leaving.

    No new requests are allowed from that time on.
    """
    state = upstream_state.UpstreamState(0.0)
    state.set_leaving(SOURCE.PLATFORM, True, 5.0)
    state.receive_report(report(draining=True), 4.0)
    state.set_leaving(SOURCE.RULE, True, 9.0)
    assert state.leaving_since == 4.0
    assert not state.accepts_work(4.0)
    state.receive_report(report(), 10.0)
    assert state.leaving_since == 5.0


def test_consecutive_failures_eject_an_upstream_which_returns_with_a_slow_start():
    """Guards against a broken upstream that keeps getting its share of requests."""
    state = upstream_state.UpstreamState(0.0)
    for now in (1.0, 1.1, 1.2):
        assert state.accepts_work(now)
        respond(state, now, failed=True)
    assert not state.accepts_work(3.1)
    assert state.accepts_work(3.2)
    assert state.weight(3.2) < 0.2
    respond(state, 3.3, failed=True)
    assert not state.accepts_work(7.2)


def test_old_and_wrong_reports_are_ignored():
    """Guards against an upstream that wrongly reports no load and gets all requests."""
    state = upstream_state.UpstreamState(0.0)
    state.receive_report(report(4), 1.0)
    assert state.view("u", 1, 5, 4.0).reported_load == 0.8
    assert state.view("u", 1, 5, 4.1).reported_load is None
    for _ in range(3):
        state.start(5.0)
    state.receive_report(report(0), 6.0)
    assert state.view("u", 1, 5, 6.0).reported_load is None


def test_cold_upstream_is_warm_after_requests_not_after_time():
    """Guards against rolling back a good version for its cold caches.

    At a small share of the traffic they stay cold for minutes.
    """
    state = upstream_state.UpstreamState(0.0, cold=True)
    for n in range(upstream_state.WARM_ANSWERS):
        assert state.cold
        respond(state, 100.0 * n)
    assert not state.cold
    state.start_cold(5000.0)
    assert state.cold


@pytest.mark.parametrize("name", sorted(registry.POLICIES))
def test_policies_return_one_of_the_views(name):
    """Guards against a policy that raises for an upstream without any response."""
    fresh = upstream_state.UpstreamState(0.0, cold=True)
    used = upstream_state.UpstreamState(0.0)
    respond(used, 1.0)
    views = [fresh.view("a", 1, 5, 1.0), used.view("b", 2, 5, 1.0)]
    chosen_policy = policy.create(name)
    for count in (1, 2):
        assert chosen_policy.pick(views[:count], random.Random(1)) in views[:count]
