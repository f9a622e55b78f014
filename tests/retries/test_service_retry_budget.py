"""Tests of the retry budget and the retry policy."""

import random

import pytest

from rattanlug.errors import executed
from rattanlug.retries import retry_policy, service_retry_budget


@pytest.mark.parametrize("seed", range(10))
def test_the_retries_of_all_vms_stay_within_the_limit_in_every_window(seed):
    rng = random.Random(seed)
    budgets = [
        service_retry_budget.ServiceRetryBudget(0.2, 60.0, 10.0) for _ in range(10)
    ]
    requests, retries = [], []
    now = 0.0
    while now < 40.0:
        now += rng.expovariate(200.0 if 10.0 < now < 20.0 else 50.0)
        budget = rng.choice(budgets)
        budget.count_request(now)
        requests.append(now)
        if budget.try_retry(10, now):
            retries.append(now)
    for at in retries:
        recent = sum(at - 10.0 < each <= at for each in retries)
        current = sum(at - 10.0 < each <= at for each in requests)
        previous = sum(at - 20.0 < each <= at - 10.0 for each in requests)
        assert recent <= 0.2 * max(current, previous) + 60.0


@pytest.mark.parametrize(
    ("idempotent", "was_executed", "attempts", "time_left", "expected"),
    [
        (True, executed.Executed.UNKNOWN, 1, 1.0, True),
        (False, executed.Executed.UNKNOWN, 1, 1.0, False),
        (False, executed.Executed.NO, 1, 1.0, True),
        (True, executed.Executed.NO, 2, 1.0, False),
        (True, executed.Executed.NO, 1, 0.01, False),
    ],
)
def test_only_idempotent_or_not_executed_requests_are_retried(
    idempotent, was_executed, attempts, time_left, expected
):
    assert (
        retry_policy.may_retry(idempotent, was_executed, attempts, 2, time_left)
        is expected
    )
