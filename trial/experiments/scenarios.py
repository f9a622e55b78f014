"""Scenarios of upstream choice."""

import random
from collections.abc import Callable

from trial.experiments import arrival, fleet

DURATION = 40.0
EVENT = 15.0
SCENARIOS: dict[str, Callable] = {}


def scenario(name):
    """Enter a scenario; it returns the load, the excess and changes of the fleet."""

    def enter(function):
        SCENARIOS[name] = function
        return function

    return enter


def _spread(model, every):
    # Upstreams are numbered over the data centres in turn; the shift by the round
    # keeps a step from hitting the same data centre each time.
    centres = len(model.where.vms)
    return [
        item
        for n, item in enumerate(model.upstreams.values())
        if (n + n // centres) % every == 0
    ]


def _constant(load):
    return lambda now: load


@scenario("steady_day")
def steady_day(model):
    """Load 55%."""
    return _constant(0.55), None


@scenario("evening_peak")
def evening_peak(model):
    """Load rises from 40% to 80% and falls again."""
    return lambda now: 0.4 + 0.4 * max(0.0, 1 - abs(now - 22) / 18), None


@scenario("tenant_ten_times")
def tenant_ten_times(model):
    """Send 10 times the rate of the second largest organisation."""
    return _constant(0.7), (1, 10.0, 10.0)


@scenario("region_lost_at_peak")
def region_lost_at_peak(model):
    """One of three regions is lost at load 75%."""
    model.at(EVENT, model.lose_region, 2)
    return _constant(0.75), None


@scenario("reports_stopped_or_wrong")
def reports_stopped_or_wrong(model):
    """Stop a quarter of the reports and let another quarter always say idle."""

    def change():
        for item in _spread(model, 2):
            model.lying[item.name] = "stopped"
        for item in _spread(model, 4):
            model.lying[item.name] = "idle"

    model.at(10.0, change)
    return _constant(0.65), None


@scenario("planned_drain")
def planned_drain(model):
    """Drain a sixth of the upstreams at load 60%."""
    model.at(EVENT, model.drain, _spread(model, 6))
    return _constant(0.6), None


@scenario("big_move_cold")
def big_move_cold(model):
    """Half of the upstreams lose their caches at once."""

    def change():
        for item in _spread(model, 2):
            item.answered = 0
            for each in model.vms:
                each.state(item.name, model.now).start_cold(model.now)

    model.at(EVENT, change)
    return _constant(0.55), None


@scenario("upstream_failing")
def upstream_failing(model):
    """One upstream of each pool fails every request within 5 ms for 10 s."""

    def change(failing):
        for pool in model.pools:
            pool[0].failing = failing

    model.at(10.0, change, True)
    model.at(20.0, change, False)
    return _constant(0.6), None


@scenario("all_upstreams_failing")
def all_upstreams_failing(model):
    """Fail half of all requests after their full time for 10 s."""

    def change(share):
        for item in model.upstreams.values():
            item.error_share = share

    model.at(10.0, change, 0.5)
    model.at(20.0, change, 0.0)
    return _constant(0.6), None


def run(name, where, policy_name, seed, **options) -> dict[str, float]:
    """Run one scenario once."""
    model = fleet.Fleet(where, policy_name, seed, DURATION, **options)
    load, excess = SCENARIOS[name](model)
    arrivals = arrival.generate(where, random.Random(seed), DURATION, load, excess)
    result = model.run(arrivals)
    for item in model.upstreams.values():
        if item.draining_since is not None:
            empty = item.empty_since or item.draining_since
            result.drain_times.append(empty - item.draining_since)
    return {**result.summary(), "retries": result.retries}
