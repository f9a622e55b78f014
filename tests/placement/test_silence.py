"""Tests of upstreams that haven't responded for a while."""

import random

import pytest

from rattanlug.desired import bounds
from rattanlug.discovery import upstream_record, upstream_registry
from rattanlug.placement import placement_request, placer

RECORDS = [
    upstream_record.UpstreamRecord(
        f"u{number}", 1, 1, "s", "v1", "h", 1, "d1", 5, False, 0.0
    )
    for number in range(3)
]


def build():
    registry = upstream_registry.UpstreamRegistry()
    registry.apply(RECORDS, 1, 0.0)
    return placer.Placer(
        "d1",
        "r1",
        {"d1": "r1"},
        registry,
        bounds.Bounds(),
        lambda name: 1,
        lambda name, now: 1,
        random.Random(1),
    )


def make_request(object_id, target, timeout):
    return placement_request.PlacementRequest(
        "s", "r", object_id, False, target, timeout, 1.0, None, None, frozenset()
    )


def choose_for_short_request(chooser, times, now):
    request = make_request(None, 0.4, 1.0)
    return chooser.choose(request, times, now)


# Guards against short requests that are refused since each upstream runs one request
# that takes long.
@pytest.mark.parametrize("seconds", [1.5, 3.0])
def test_upstreams_with_one_long_request_are_not_silent(seconds):
    chooser = build()
    long_times = chooser.times("long", 10.0, False)
    short_times = chooser.times("short", 0.4, False)
    for _ in range(30):
        long_times.learn(seconds)
    for number in range(3):
        request = make_request(f"o{number}", 10.0, 20.0)
        chosen = chooser.choose(request, long_times, 0.0)
        chooser.begin(chosen.record, f"o{number}", 0.0, long_times.cold)
    assert [chooser.load(each, 0.0).in_flight for each in RECORDS] == [1, 1, 1]
    for now in (0.1, 0.5, 1.0, 1.4, seconds):
        chosen = choose_for_short_request(chooser, short_times, now)
        assert chosen is not None
        assert chosen.seconds < 0.4


@pytest.mark.parametrize("with_long_request", [False, True])
def test_an_upstream_that_does_not_respond_to_a_short_request_is_silent(
    with_long_request,
):
    chooser = build()
    short_times = chooser.times("short", 0.4, False)
    for each in RECORDS:
        if with_long_request:
            chooser.begin(each, None, 0.0, 7.0)
        chooser.begin(each, None, 0.0, short_times.cold)
    assert choose_for_short_request(chooser, short_times, short_times.cold) is not None
    assert choose_for_short_request(chooser, short_times, 1.0) is None


def test_an_upstream_that_does_not_respond_to_a_long_request_in_time_is_silent():
    chooser = build()
    short_times = chooser.times("short", 0.4, False)
    for each in RECORDS:
        chooser.begin(each, None, 0.0, 3.0)
    assert choose_for_short_request(chooser, short_times, 5.9) is not None
    assert choose_for_short_request(chooser, short_times, 6.1) is None
