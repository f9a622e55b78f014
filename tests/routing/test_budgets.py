"""Tests that cross-region links and retries stay within their budgets."""

import random

import pytest

from rattanlug.routing import link_budget, retry_budget
from tests.routing import builders


def test_link_carries_at_most_its_rate_in_the_long_run():
    """Guards against responses larger than expected that exceed the link's rate."""
    rng = random.Random(1)
    rate = 1_000_000.0
    budget = link_budget.LinkBudget({"b": rate}, 0.0)
    carried, now, running = 0, 0.0, []
    while now < 60:
        now += 0.001
        if budget.allows("b", now):
            running.append((now + 0.05, budget.start("b", 200, now)))
        while running and running[0][0] <= now:
            size = int(rng.paretovariate(1.5) * 20_000)
            carried += size
            budget.finish("b", running.pop(0)[1], size, now)
    debt = max(0.0, -budget.level("b"))
    assert carried <= rate * (now + link_budget.BURST_SECONDS) + debt
    assert carried >= 0.8 * rate * now


def test_no_request_starts_in_debt():
    """Guards against further requests before a large response is paid off."""
    budget = link_budget.LinkBudget({"b": 1000.0}, 0.0)
    assert not budget.allows("b", 0.0)
    assert budget.allows("b", 1.0)
    budget.finish("b", budget.start("b", 10, 1.0), 5250, 1.0)
    assert not budget.allows("b", 5.9)
    assert budget.allows("b", 6.1)
    assert not budget.allows("elsewhere", 100.0)


def test_rates_of_all_seats_add_up_to_the_link():
    """Guards against two regions that each use the whole link."""
    current = builders.build()
    total = sum(
        link_budget.link_rates(current, region, seats)[other]
        for region, other, seats in (("a", "b", 4), ("b", "a", 2))
    )
    assert total == pytest.approx(1000.0 * link_budget.REQUEST_SHARE)


def test_retries_stay_at_a_tenth_of_requests():
    """Guards against retries that multiply the load on a failing upstream."""
    budget = retry_budget.RetryBudget()
    rng = random.Random(2)
    now, requests, retries = 0.0, 0, 0
    for _ in range(5000):
        now += rng.expovariate(50.0)
        budget.count_request(now)
        requests += 1
        retries += budget.try_retry(now)
    assert 0.09 * requests <= retries <= 0.1 * requests


def test_requests_outside_the_window_allow_no_retries():
    """Guards against a burst of retries after a time without requests."""
    budget = retry_budget.RetryBudget()
    for _ in range(1000):
        budget.count_request(0.0)
    assert not budget.try_retry(11.0)
