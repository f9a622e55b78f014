"""Guards against links and retries above their shares."""

import random

import pytest

from rattanlug.routing import link_budget, retry_budget
from tests.routing import builders


def test_link_carries_at_most_its_share_in_the_long_run():
    """Answers larger than expected would fill the link."""
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
    """A large answer would be followed by more before it is paid off."""
    budget = link_budget.LinkBudget({"b": 1000.0}, 0.0)
    assert not budget.allows("b", 0.0)
    assert budget.allows("b", 1.0)
    budget.finish("b", budget.start("b", 10, 1.0), 5250, 1.0)
    assert not budget.allows("b", 5.9)
    assert budget.allows("b", 6.1)
    assert not budget.allows("elsewhere", 100.0)


def test_shares_of_all_seats_fit_the_link():
    """Each region would count the whole link as its own."""
    current = builders.build()
    total = sum(
        link_budget.link_rates(current, region, seats)[other]
        for region, other, seats in (("a", "b", 4), ("b", "a", 2))
    )
    assert total == pytest.approx(1000.0 * link_budget.REQUEST_SHARE)


def test_retries_stay_at_a_tenth():
    """A failing upstream would multiply its own load."""
    budget = retry_budget.RetryBudget()
    rng = random.Random(2)
    now, requests, retries = 0.0, 0, 0
    for _ in range(5000):
        now += rng.expovariate(50.0)
        budget.count_request(now)
        requests += 1
        retries += budget.try_retry(now)
    assert 0.09 * requests <= retries <= 0.1 * requests


def test_old_requests_earn_no_retries():
    """A burst of retries could follow a quiet time."""
    budget = retry_budget.RetryBudget()
    for _ in range(1000):
        budget.count_request(0.0)
    assert not budget.try_retry(11.0)
