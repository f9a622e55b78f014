"""Guards against work for upstreams that leave, fail or lie."""

import random

import pytest

from rattanlug.routing import load_report, policy, registry, upstream_state

SIGN = upstream_state.LeavingSource


def answer(state, now, *, failed=False, latency=0.1):
    state.finish(state.start(now - latency), now, failed=failed)


def report(in_flight=0, *, draining=False):
    return load_report.LoadReport(in_flight, 5, draining, "v1")


def test_earliest_leaving_sign_counts():
    """A later sign would move the moment from which no new work is allowed."""
    state = upstream_state.UpstreamState(0.0)
    state.set_leaving(SIGN.PLATFORM, True, 5.0)
    state.receive_report(report(draining=True), 4.0)
    state.set_leaving(SIGN.RULE, True, 9.0)
    assert state.leaving_since == 4.0
    assert not state.accepts_work(4.0)
    state.receive_report(report(), 10.0)
    assert state.leaving_since == 5.0


def test_failures_in_a_row_eject_and_it_returns_slowly():
    """A broken upstream would fail a share of all requests for ever."""
    state = upstream_state.UpstreamState(0.0)
    for now in (1.0, 1.1, 1.2):
        assert state.accepts_work(now)
        answer(state, now, failed=True)
    assert not state.accepts_work(3.1)
    assert state.accepts_work(3.2)
    assert state.weight(3.2) < 0.2
    answer(state, 3.3, failed=True)
    assert not state.accepts_work(7.2)


def test_old_and_wrong_reports_are_ignored():
    """An upstream that reports no load would attract all requests."""
    state = upstream_state.UpstreamState(0.0)
    state.receive_report(report(4), 1.0)
    assert state.view("u", 1, 5, 4.0).reported == 0.8
    assert state.view("u", 1, 5, 4.1).reported is None
    for _ in range(3):
        state.start(5.0)
    state.receive_report(report(0), 6.0)
    assert state.view("u", 1, 5, 6.0).reported is None


def test_cold_upstream_is_warm_after_requests_not_after_time():
    """A good version would be rolled back for the cold caches of its first minutes."""
    state = upstream_state.UpstreamState(0.0, cold=True)
    for n in range(upstream_state.WARM_ANSWERS):
        assert state.cold
        answer(state, 100.0 * n)
    assert not state.cold
    state.start_cold(5000.0)
    assert state.cold


@pytest.mark.parametrize("name", sorted(registry.POLICIES))
def test_policies_return_one_of_the_views(name):
    """A policy that fails on an upstream without history would fail requests."""
    fresh = upstream_state.UpstreamState(0.0, cold=True)
    used = upstream_state.UpstreamState(0.0)
    answer(used, 1.0)
    views = [fresh.view("a", 1, 5, 1.0), used.view("b", 2, 5, 1.0)]
    chosen = policy.create(name)
    for count in (1, 2):
        assert chosen.pick(views[:count], random.Random(1)) in views[:count]
