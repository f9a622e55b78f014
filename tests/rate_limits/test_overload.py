"""Tests of what an overloaded VM refuses."""

import heapq
import random

import pytest

from rattanlug.rate_limits import overload


@pytest.mark.parametrize(
    ("lag", "refused"), [(0.0, []), (0.15, [2]), (0.25, [1, 2]), (0.4, [0, 1, 2])]
)
def test_the_least_urgent_are_refused_first(lag, refused):
    assert [each for each in range(3) if overload.should_shed(lag, each, 2)] == refused


def play(shed, seconds=20.0):
    """Serve bursts of twice what a processor can do; return served in time by rank.

    A request takes 4 ms of the processor and a refusal 0.5 ms, in order of arrival.
    """
    rng = random.Random(1)
    arrivals, now = [], 0.0
    while now < seconds:
        now += rng.expovariate(500.0 if now % 10.0 < 4.0 else 150.0)
        heapq.heappush(arrivals, (now, rng.choice([0, 1, 2, 2, 2])))
    free_at, in_time, asked = 0.0, [0, 0, 0], [0, 0, 0]
    while arrivals:
        at, rank = heapq.heappop(arrivals)
        asked[rank] += 1
        lag = max(0.0, free_at - at)
        if shed and overload.should_shed(lag, rank, 2):
            free_at = max(free_at, at) + 0.0005
            continue
        free_at = max(free_at, at) + 0.004
        in_time[rank] += free_at - at < 0.4
    return [done / total for done, total in zip(in_time, asked, strict=True)]


def test_a_burst_beyond_the_processor_costs_the_least_urgent_only():
    plain, own = play(False), play(True)
    assert own[0] > 0.99
    assert own[1] > 0.9
    assert sum(own) > sum(plain) + 0.5
    assert own[2] > plain[2]
