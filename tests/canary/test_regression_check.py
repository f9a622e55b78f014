"""Tests of the detection of regressed versions."""

import random

import pytest

from rattanlug.canary import outcome_window, regression_check
from rattanlug.fleet import outcome_count


def count(route="r", new=(0, 0), old=(0, 0), service="s"):
    return outcome_count.OutcomeCount(service, route, *new, *old)


@pytest.mark.parametrize(
    ("counts", "regressed"),
    [
        ([], False),
        ([count(new=(100, 3))], False),
        ([count(new=(10, 4))], True),
        ([count(new=(50, 2)), count(new=(50, 2))], False),
        ([count(new=(5, 2)), count(new=(5, 2))], True),
        ([count(new=(10, 5), old=(80, 20))], False),
        ([count(new=(5, 15), old=(80, 20))], True),
        ([count("good", new=(500, 0)), count("bad", new=(6, 5))], True),
        ([count(new=(0, 50), service="other")], False),
    ],
)
def test_a_version_has_regressed_if_a_route_fails_far_more_often(counts, regressed):
    assert (regression_check.find_regressed_route("s", counts) is not None) is regressed


@pytest.mark.parametrize("share", [0.3, 0.5, 1.0])
@pytest.mark.parametrize("begin", [0.0, 6.0])
def test_a_fault_is_found_within_two_seconds_at_the_canary_share(share, begin):
    """Simulates 17 canary requests per second.

    Good responses before the fault must not hide it.
    """
    rng = random.Random(f"{share} {begin}")
    window = outcome_window.OutcomeWindow()
    now, found_at = 0.0, None
    while now < begin + 4.0 and found_at is None:
        now += rng.expovariate(17.0)
        window.add("s", "r", True, now > begin and rng.random() < share, now)
        for _ in range(10):
            window.add("s", "r", False, rng.random() < 0.004, now)
        if regression_check.find_regressed_route("s", window.counts(now)):
            found_at = now
    assert found_at is not None
    assert begin < found_at <= begin + 2.0


@pytest.mark.parametrize("seed", range(20))
def test_a_good_version_with_single_errors_is_not_rolled_back(seed):
    rng = random.Random(seed)
    window = outcome_window.OutcomeWindow()
    now = 0.0
    while now < 20.0:
        now += rng.expovariate(17.0)
        window.add("s", "r", True, rng.random() < 0.02, now)
        for _ in range(10):
            window.add("s", "r", False, rng.random() < 0.02, now)
        assert regression_check.find_regressed_route("s", window.counts(now)) is None


def test_responses_expire_from_the_window():
    window = outcome_window.OutcomeWindow()
    window.add("s", "r", True, True, 0.0)
    assert window.counts(1.0)
    assert window.counts(0.1 + outcome_window.WINDOW_SECONDS + 0.5) == ()
