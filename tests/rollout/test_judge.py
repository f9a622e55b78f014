"""Tests of false alarms and of the detection of bad versions."""

import math
import random

import pytest

from rattanlug.rollout import judge, outcome_counts

LOG_LIMIT = math.log(6 / 0.005)


def binomial(rng, number, share):
    return sum(rng.random() < share for _ in range(number))


def judge_until_bad(rng, old_errors, new_errors, new_per_step, steps):
    """Return the requests to the new version until the bad verdict, None if none."""
    evidence = judge.RouteJudge(starts=60)
    for step in range(steps):
        if step % 10 == 0:
            evidence.add_start()
        sizes = 60, new_per_step
        old, new = (
            outcome_counts.OutcomeCounts(n, binomial(rng, n, share))
            for n, share in zip(sizes, (old_errors, new_errors), strict=True)
        )
        evidence.add(old, new, step * 0.5)
        if judge.judge("r", evidence, LOG_LIMIT).bad:
            return evidence.new.requests
    return None


@pytest.mark.parametrize("new_per_step", [1, 60])
@pytest.mark.parametrize("errors", [0.001, 0.05])
def test_false_alarms_stay_below_one_in_a_hundred(new_per_step, errors):
    """Guards against rolling back a good version by chance."""
    rng = random.Random(1)
    alarms = sum(
        judge_until_bad(rng, errors, errors, new_per_step, 200) is not None
        for _ in range(60)
    )
    assert alarms == 0


@pytest.mark.parametrize(("share", "max_requests"), [(1.0, 6), (0.2, 60), (0.05, 400)])
def test_bad_version_is_detected_in_few_requests(share, max_requests):
    """Guards against a bad version that gets requests for a long time."""
    rng = random.Random(2)
    needed = [judge_until_bad(rng, 0.001, share, 1, 800) for _ in range(20)]
    assert None not in needed
    assert sorted(needed)[10] <= max_requests


def test_late_regression_is_detected():
    """Guards against a late regression that is hidden by the good requests before."""
    evidence = judge.RouteJudge(starts=120)
    for step in range(1000):
        if step % 10 == 0:
            evidence.add_start()
        evidence.add(
            outcome_counts.OutcomeCounts(50),
            outcome_counts.OutcomeCounts(50),
            step * 0.5,
        )
    for step in range(8):
        evidence.add(
            outcome_counts.OutcomeCounts(50),
            outcome_counts.OutcomeCounts(50, 25),
            500 + step * 0.5,
        )
    assert judge.judge("r", evidence, LOG_LIMIT).bad


def test_errors_that_hit_both_versions_are_no_evidence():
    """Guards against rolling back a version for a fault that hits both versions."""
    evidence = judge.RouteJudge()
    for step in range(100):
        failing = 50 <= step < 60
        evidence.add(
            outcome_counts.OutcomeCounts(100, 50 * failing),
            outcome_counts.OutcomeCounts(20, 10 * failing),
            step * 0.5,
        )
    assert not judge.judge("r", evidence, LOG_LIMIT).bad


@pytest.mark.parametrize(("slow", "bad"), [(8, False), (20, True)])
def test_cold_caches_are_tolerated_but_not_a_slow_version(slow, bad):
    """Guards against a wrong verdict on a new version while its caches are cold.

    A good version must not be rolled back for the slow responses of cold caches, and a
    slow version must not pass because its caches are cold.
    """
    evidence = judge.RouteJudge()
    for step in range(5):
        evidence.add(
            outcome_counts.OutcomeCounts(4000),
            outcome_counts.OutcomeCounts(20, 0, slow, 20),
            step * 1.0,
        )
    assert judge.judge("r", evidence, LOG_LIMIT).bad is bad
