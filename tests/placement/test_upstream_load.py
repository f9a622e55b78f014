"""Tests of the estimated load and health of an upstream."""

import pytest

from rattanlug.placement import upstream_load


def test_own_requests_in_a_report_are_not_counted_twice():
    load = upstream_load.UpstreamLoad(5, 0.0)
    first, second = load.begin(0.0), load.begin(0.0)
    load.end(first)
    # One request of this VM and two of other VMs remain.
    load.note_report(3, 0.0)
    assert load.busy(0.0) == 3.0
    load.end(second)
    assert load.busy(0.0) == 2.0


def test_a_report_of_an_idle_upstream_leaves_nothing():
    load = upstream_load.UpstreamLoad(5, 0.0)
    load.end(load.begin(0.0))
    load.note_report(0, 0.1)
    assert load.busy(0.1) == 0.0


def test_reports_decay():
    load = upstream_load.UpstreamLoad(5, 0.0)
    load.note_report(4, 0.0)
    half = upstream_load.REPORT_HALF_LIFE_SECONDS
    assert load.busy(half) == pytest.approx(2.0)


def test_slowdown_and_failures_decay():
    load = upstream_load.UpstreamLoad(5, 0.0)
    for _ in range(20):
        load.note_slowdown(5.0, 0.0)
        load.note_outcome(True, 0.0)
    assert load.slowdown(0.0) > 4.5
    assert load.failure_share(0.0) > 0.9
    assert load.slowdown(40.0) < 1.1
    assert load.failure_share(40.0) < 0.1


def test_silence_counts_from_the_last_response():
    load = upstream_load.UpstreamLoad(5, 0.0)
    assert load.silence(9.0) == 0.0
    load.begin(1.0)
    load.begin(2.0)
    assert load.silence(3.0) == 2.0
    load.note_answer(2.5)
    assert load.silence(3.0) == 0.5


def test_only_overdue_requests_count_as_silence():
    load = upstream_load.UpstreamLoad(5, 0.0)
    long = load.begin(0.0, 3.0)
    assert load.silence(6.0) == 0.0
    assert load.silence(6.5) == 6.5
    short = load.begin(5.0, 0.2)
    assert load.silence(5.3) == 0.0
    assert load.silence(5.5) == 0.5
    load.end(short)
    assert load.silence(5.5) == 0.0
    load.end(long)
    assert load.silence(9.0) == 0.0


def test_backoff_after_failed_connections_grows_and_is_reset_by_a_response():
    load = upstream_load.UpstreamLoad(5, 0.0)
    load.note_unreachable(0.0)
    assert load.is_paused(0.4)
    assert not load.is_paused(0.6)
    load.note_unreachable(0.6)
    assert load.is_paused(1.5)
    load.note_answer(2.0)
    load.note_unreachable(2.0)
    assert not load.is_paused(2.6)
