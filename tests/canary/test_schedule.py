"""Tests of the steps of a rollout."""

import pytest

from rattanlug.canary import schedule


@pytest.mark.parametrize("duration", [6.0, 12.0, 16.0, 30.0, 120.0])
@pytest.mark.parametrize("timeout", [0.8, 1.2, 2.0])
def test_a_rollout_ends_in_time_and_leaves_the_old_version_time_to_finish(
    duration, timeout
):
    step, last_step, complete = 0.05, None, None
    at = 0.0
    shares = []
    while at <= duration:
        shares.append(schedule.share(at, duration, timeout))
        if last_step is None and shares[-1] == 1.0:
            last_step = at
        if complete is None and schedule.may_complete(at, duration, timeout):
            complete = at
        at += step
    assert shares == sorted(shares)
    assert complete is not None
    assert complete - last_step >= timeout


@pytest.mark.parametrize("duration", [12.0, 16.0, 60.0])
def test_the_steps_before_the_last_stay_within_the_limit_of_a_bad_version(duration):
    steps = 4000
    exposed = total = 0.0
    for index in range(steps):
        share = schedule.share(duration * index / steps, duration, 1.2)
        total += 1.0
        if share < 1.0:
            exposed += share
    # The limit of the deployments is a tenth of all requests plus 50 requests.
    rate = 250.0
    assert exposed / steps * duration * rate <= 0.1 * duration * rate + 50.0
