"""Tests that requests are served which an idle upstream can finish in time."""

import random

import pytest

from rattanlug.desired import bounds, service
from rattanlug.discovery import upstream_record, upstream_registry
from rattanlug.placement import placement_request, placer

REGIONS = {"own": "r1", "near": "r1", "far": "r2"}
SLOTS = 9
REQUESTS = 20
# Work of a request relative to the target latency, and deadline likewise.
WORK_TO_TARGET = 0.4
TIMEOUT_TO_TARGET = 2.0
# Body sizes in kilobytes, up to 15 MiB.
BODIES = [0.0, 1.0, 14.0, 20.0, 1048.6, 15728.6]
TARGETS = [0.2, 0.5, 1.0, 2.0, 4.0, 6.0, 8.0, 10.0, 15.0, 30.0]
# Data centres with upstreams, and those that are evacuated.
PLACES = {
    "own": (["own", "near", "far"], []),
    "near": (["near"], []),
    "far": (["far"], []),
    "own evacuated": (["own", "near", "far"], ["own"]),
    "region evacuated": (["own", "near", "far"], ["own", "near"]),
}


def build(data_centres, evacuated=(), upstreams=3):
    registry = upstream_registry.UpstreamRegistry()
    records = [
        upstream_record.UpstreamRecord(
            f"{name}-{number}", 1, 1, "s", "v1", "h", 1, name, SLOTS, False, 0.0
        )
        for name in data_centres
        for number in range(upstreams)
    ]
    registry.apply(records, 1, 0.0)
    built = placer.Placer(
        "own",
        REGIONS["own"],
        REGIONS,
        registry,
        bounds.Bounds(),
        lambda name: 2,
        lambda name, now: 2,
        random.Random(1),
    )
    built.configure({"s": service.Service("s", 100, 3.0, 7.4)})
    built.evacuate(frozenset(evacuated))
    return built, records


def make_request(target, kilobytes, object_id=None):
    return placement_request.PlacementRequest(
        "s", "r", object_id, True, target, TIMEOUT_TO_TARGET * target,
        kilobytes + 1.7, None, None, frozenset(),
    )  # fmt: skip


def serve(chooser, request, times, now, seconds):
    """Serve one request on an idle upstream; return the upstream or None."""
    chosen = chooser.choose(request, times, now)
    if chosen is None:
        return None
    load = chooser.load(chosen.record, now)
    load.end(chooser.begin(chosen.record, request.object_id, now))
    load.note_answer(now + seconds)
    load.note_report(0, now + seconds)
    times.learn(seconds)
    return chosen.record


# Guards against requests that are refused on idle upstreams since the cost of the slot
# or of the bytes exceeds the value of the response.
@pytest.mark.parametrize("object_id", [None, "o"])
@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("kilobytes", BODIES)
@pytest.mark.parametrize("target", TARGETS)
def test_idle_upstreams_serve_what_they_can_finish(target, kilobytes, place, object_id):
    chooser, _ = build(*PLACES[place])
    times = chooser.times("r", target, object_id is not None)
    request = make_request(target, kilobytes, object_id)
    seconds = WORK_TO_TARGET * target
    served = [
        serve(chooser, request, times, 10.0 + 2.0 * target * number, seconds)
        for number in range(REQUESTS)
    ]
    assert served.count(None) == 0
    expected = {"own": "own", "far": "far", "region evacuated": "far"}
    assert {each.data_centre for each in served} == {expected.get(place, "near")}


def take_slots(chooser, records, each, now):
    for record in records:
        for _ in range(each):
            chooser.begin(record, None, now)


# Guards against upstreams that are kept from other requests by one that costs more than
# its value: wherever one upstream of the service is more than half busy, the cost
# decides.
@pytest.mark.parametrize(
    ("target", "kilobytes", "evacuated", "busy_place"),
    [
        (10.0, 0.0, [], "own"),
        (10.0, 0.0, [], "near"),
        (10.0, 0.0, [], "far"),
        (0.5, 200.0, ["own"], "near"),
        (0.5, 200.0, ["own"], "far"),
    ],
)
def test_beside_a_busy_upstream_the_cost_decides(
    target, kilobytes, evacuated, busy_place
):
    chooser, records = build(["own", "near", "far"], evacuated)
    times = chooser.times("r", target, False)
    request = make_request(target, kilobytes)
    chooser.choose(request, times, 0.0)
    busy = next(each for each in records if each.data_centre == busy_place)
    take_slots(chooser, [busy], SLOTS // 2, 10.0)
    assert chooser.choose(request, times, 10.0) is not None
    take_slots(chooser, [busy], 1, 10.0)
    assert chooser.choose(request, times, 10.0) is None


def test_a_request_that_would_not_end_in_time_is_rejected():
    chooser, _ = build(["own"])
    times = chooser.times("r", 10.0, False)
    request = make_request(10.0, 0.0)._replace(time_to_target=-6.0, time_left=4.0)
    assert chooser.choose(request, times, 10.0) is None
    assert chooser.choose(request._replace(time_left=8.0), times, 10.0) is not None


def test_upstreams_that_fail_get_no_requests_that_cost_more_than_their_value():
    chooser, records = build(["own"])
    times = chooser.times("r", 10.0, False)
    for record in records:
        for _ in range(20):
            chooser.load(record, 10.0).note_outcome(True, 10.0)
    assert chooser.choose(make_request(10.0, 0.0), times, 10.0) is None
    assert chooser.choose(make_request(10.0, 0.0), times, 15.0) is not None
