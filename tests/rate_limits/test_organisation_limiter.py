"""Tests of the rate limit of an organisation over several VMs.

The fleet consists of one limiter per VM. The limiters exchange their demands once a
second, as the digests of VMs do.
"""

import random

import pytest

from rattanlug.desired import bounds, organisation
from rattanlug.rate_limits import organisation_limiter

BOUNDS = bounds.Bounds()


def fleet(vms, rate, burst):
    limits = organisation.Organisation("o", frozenset(), None, rate, burst, frozenset())
    return [
        organisation_limiter.OrganisationLimiter(limits, BOUNDS, 0.0)
        for _ in range(vms)
    ]


def update_shares(limiters, now):
    demands = [each.report(now) for each in limiters]
    for own, each in zip(demands, limiters, strict=True):
        each.set_share(sum(demands) - own, len(limiters), now)


def simulate_staggered(limiters, rates_at, seconds, seed):
    """Send requests at changing rates; each VM reports at times of its own."""
    rng = random.Random(seed)
    vms = len(limiters)
    events = [(rng.random() + n, "report", i) for i in range(vms) for n in range(99)]
    for index in range(vms):
        at = 0.0
        while at < seconds:
            at += rng.expovariate(rates_at(index, at))
            events.append((at, "request", index))
    reports, admitted = [0.0] * vms, []
    for at, event, index in sorted(events):
        limiter = limiters[index]
        if event == "report":
            reports[index] = limiter.report(at)
            limiter.set_share(sum(reports) - reports[index], vms, at)
        elif at < seconds and limiter.admit(at):
            admitted.append(at)
    return admitted


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("begin", [0.5, 4.0, 4.7])
def test_a_sudden_rise_of_demand_stays_within_the_limit_of_the_fleet(seed, begin):
    limiters = fleet(12, 365.0, 365.0)

    def rates_at(index, at):
        base = 230.0 * (index + 1) / 78.0
        return base * (7.5 if at >= begin else 1.0)

    admitted = simulate_staggered(limiters, rates_at, 14.0, seed)
    assert most_in_window(admitted, BOUNDS.rate_window) <= bound(365.0, 365.0)


def simulate(limiters, rates, seconds, seed, begin=0.0):
    """Send requests at given rates; return times of admission and rejection count."""
    rng = random.Random(seed)
    arrivals = []
    for index, rate in enumerate(rates):
        at = begin
        while rate > 0.0 and (at := at + rng.expovariate(rate)) < begin + seconds:
            arrivals.append((at, index))
    admitted, rejected, next_report = [], 0, begin
    for at, index in sorted(arrivals):
        while next_report <= at:
            update_shares(limiters, next_report)
            next_report += 1.0
        if limiters[index].admit(at):
            admitted.append(at)
        else:
            rejected += 1
    return admitted, rejected


def most_in_window(times, window):
    first, most = 0, 0
    for index, at in enumerate(times):
        while times[first] <= at - window:
            first += 1
        most = max(most, index - first + 1)
    return most


def bound(rate, burst):
    window = BOUNDS.rate_window
    return (rate * window + burst) * (1 + BOUNDS.rate_overage) + BOUNDS.rate_slack


@pytest.mark.parametrize("seed", range(20))
def test_demand_far_above_the_rate_stays_within_the_limit_of_the_fleet(seed):
    limiters = fleet(10, 40.0, 40.0)
    rng = random.Random(seed)
    rates = [rng.choice([0.0, 5.0, 30.0, 120.0]) for _ in limiters]
    admitted, _ = simulate(limiters, rates, 30.0, seed)
    assert most_in_window(admitted, BOUNDS.rate_window) <= bound(40.0, 40.0)


UNEVEN = [6.0, 3.0, 2.0, 2.0, 1.5, 1.0, 0.8, 0.7, 0.3, 0.2]
ONE_VM = [0.9 * 28.0] + [0.0] * 9


@pytest.mark.parametrize("rates", [UNEVEN, ONE_VM])
def test_demand_within_the_rate_has_at_most_one_percent_rejections(rates):
    admitted = rejected = 0
    for seed in range(10):
        limiters = fleet(10, 28.0, 28.0)
        simulate(limiters, rates, 5.0, seed)
        admissions, rejections = simulate(limiters, rates, 55.0, 100 + seed, begin=5.0)
        admitted += len(admissions)
        rejected += rejections
    assert rejected <= 0.01 * (admitted + rejected)


def test_shares_add_up_to_the_rate():
    limiters = fleet(4, 100.0, 10.0)
    for index, each in enumerate(limiters):
        for step in range(20 * index):
            each.admit(step * 0.01)
    for _ in range(2):
        update_shares(limiters, 1.0)
    assert sum(each.share for each in limiters) == pytest.approx(1.0)


def test_a_vm_that_just_started_has_few_tokens():
    (limiter,) = fleet(1, 100.0, 1000.0)
    update_shares([limiter], 0.0)
    admitted = sum(limiter.admit(0.0) for _ in range(1000))
    assert admitted <= 100.0 * organisation_limiter.INITIAL_TOKENS_SECONDS
