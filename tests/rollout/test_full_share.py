"""Tests of the verdict while the old version gets no requests."""

import math
import random

from rattanlug.rollout import judge, outcome_counts

LOG_LIMIT = math.log(3 * 2 / 0.005)


def test_errors_at_full_share_are_detected():
    """Guards against a done move to a version that fails at full share."""
    route_judge = judge.RouteJudge(starts=8)
    good = outcome_counts.OutcomeCounts(12)
    nothing = outcome_counts.OutcomeCounts()
    now = 0.0
    for _ in range(40):
        now += 0.5
        route_judge.add(good, good, now)
    for _ in range(10):
        now += 0.5
        failed = outcome_counts.OutcomeCounts(12, errors=12)
        route_judge.add(nothing, failed, now)
    assert judge.judge("view", route_judge, LOG_LIMIT).bad


def test_good_version_at_full_share_is_not_judged_bad():
    """Guards against rolling back a good version for lack of a baseline."""
    rng = random.Random(1)

    def draw():
        errors = sum(rng.random() < 0.02 for _ in range(12))
        slow = sum(rng.random() < 0.05 for _ in range(12))
        return outcome_counts.OutcomeCounts(12, errors=errors, slow=slow)

    bad = 0
    for _ in range(200):
        route_judge = judge.RouteJudge(starts=8)
        now = 0.0
        for number in range(120):
            now += 0.5
            old = draw() if number < 20 else outcome_counts.OutcomeCounts()
            route_judge.add(old, draw(), now)
            if number % 10 == 9:
                route_judge.add_start()
        bad += judge.judge("view", route_judge, LOG_LIMIT).bad
    # All tests of a move together have a false-alarm probability of 0.5%.
    assert bad <= 1
