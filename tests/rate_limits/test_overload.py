"""Tests of load shedding by a VM whose event loop lags."""

import heapq
import random

import pytest

from rattanlug.rate_limits import overload


@pytest.mark.parametrize(
    ("lag", "rejected"), [(0.0, []), (0.15, [2]), (0.25, [1, 2]), (0.4, [0, 1, 2])]
)
def test_the_least_urgent_requests_are_rejected_first(lag, rejected):
    assert [each for each in range(3) if overload.should_shed(lag, each, 2)] == rejected


def simulate(shed, seconds=20.0):
    """Serve bursts of twice a processor's capacity; return shares in time by priority.

    A request takes 4 ms of processor time and a rejection 0.5 ms, in arrival order.
    """
    rng = random.Random(1)
    arrivals, now = [], 0.0
    while now < seconds:
        now += rng.expovariate(500.0 if now % 10.0 < 4.0 else 150.0)
        heapq.heappush(arrivals, (now, rng.choice([0, 1, 2, 2, 2])))
    free_at, in_time, arrived = 0.0, [0, 0, 0], [0, 0, 0]
    while arrivals:
        at, priority = heapq.heappop(arrivals)
        arrived[priority] += 1
        lag = max(0.0, free_at - at)
        if shed and overload.should_shed(lag, priority, 2):
            free_at = max(free_at, at) + 0.0005
            continue
        free_at = max(free_at, at) + 0.004
        in_time[priority] += free_at - at < 0.4
    return [done / total for done, total in zip(in_time, arrived, strict=True)]


def test_shedding_keeps_urgent_requests_in_time_during_a_burst():
    baseline, shedding = simulate(False), simulate(True)
    assert shedding[0] > 0.99
    assert shedding[1] > 0.9
    assert sum(shedding) > sum(baseline) + 0.5
    assert shedding[2] > baseline[2]
