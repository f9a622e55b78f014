"""Scenarios of upstream selection."""

import random
from collections.abc import Callable

from trial.experiments import arrival, fleet

DURATION_S = 40.0
EVENT_S = 15.0
SCENARIOS: dict[str, Callable] = {}


def scenario(name):
    """Register a function that schedules faults and returns the load and the excess."""

    def register(function):
        SCENARIOS[name] = function
        return function

    return register


def _every_nth(fleet_model, step):
    # Consecutive upstreams are in consecutive data centres; the shift by one for each
    # pass over the data centres keeps the selection from always meeting the same one.
    data_centres = len(fleet_model.plan.vms)
    return [
        upstream
        for n, upstream in enumerate(fleet_model.upstreams.values())
        if (n + n // data_centres) % step == 0
    ]


def _constant(load):
    return lambda now: load


@scenario("steady_day")
def steady_day(fleet_model):
    """Load 55%."""
    return _constant(0.55), None


@scenario("evening_peak")
def evening_peak(fleet_model):
    """Load rises from 40% to 80% and falls again."""
    return lambda now: 0.4 + 0.4 * max(0.0, 1 - abs(now - 22) / 18), None


@scenario("tenant_ten_times")
def tenant_ten_times(fleet_model):
    """Raise the second largest organisation to 10 times its rate."""
    return _constant(0.7), (1, 10.0, 10.0)


@scenario("region_lost_at_peak")
def region_lost_at_peak(fleet_model):
    """One of three regions is lost at load 75%."""
    fleet_model.at(EVENT_S, fleet_model.lose_region, 2)
    return _constant(0.75), None


@scenario("reports_stopped_or_wrong")
def reports_stopped_or_wrong(fleet_model):
    """Stop a quarter of the load reports; another quarter always reports idle."""

    def change():
        for upstream in _every_nth(fleet_model, 2):
            fleet_model.report_faults[upstream.name] = "stopped"
        for upstream in _every_nth(fleet_model, 4):
            fleet_model.report_faults[upstream.name] = "idle"

    fleet_model.at(10.0, change)
    return _constant(0.65), None


@scenario("planned_drain")
def planned_drain(fleet_model):
    """Drain a sixth of the upstreams at load 60%."""
    fleet_model.at(EVENT_S, fleet_model.drain, _every_nth(fleet_model, 6))
    return _constant(0.6), None


@scenario("big_move_cold")
def big_move_cold(fleet_model):
    """Half of the upstreams lose their caches at once."""

    def change():
        for upstream in _every_nth(fleet_model, 2):
            upstream.responses = 0
            for entry_vm in fleet_model.vms:
                entry_vm.state(upstream.name, fleet_model.now).start_cold(
                    fleet_model.now
                )

    fleet_model.at(EVENT_S, change)
    return _constant(0.55), None


@scenario("upstream_failing")
def upstream_failing(fleet_model):
    """One upstream of each pool fails every request within 5 ms for 10 s."""

    def change(failing):
        for pool in fleet_model.pools:
            pool[0].failing = failing

    fleet_model.at(10.0, change, True)
    fleet_model.at(20.0, change, False)
    return _constant(0.6), None


@scenario("all_upstreams_failing")
def all_upstreams_failing(fleet_model):
    """Fail half of all requests after their full time for 10 s."""

    def change(share):
        for upstream in fleet_model.upstreams.values():
            upstream.error_share = share

    fleet_model.at(10.0, change, 0.5)
    fleet_model.at(20.0, change, 0.0)
    return _constant(0.6), None


def run(name, plan, policy_name, seed, **options) -> dict[str, float]:
    """Run one scenario once."""
    fleet_model = fleet.Fleet(plan, policy_name, seed, DURATION_S, **options)
    load, excess = SCENARIOS[name](fleet_model)
    arrivals = arrival.generate(plan, random.Random(seed), DURATION_S, load, excess)
    result = fleet_model.run(arrivals)
    for upstream in fleet_model.upstreams.values():
        if upstream.draining_since is not None:
            empty = upstream.empty_since or upstream.draining_since
            result.drain_times.append(empty - upstream.draining_since)
    return {**result.summary(), "retries": result.retries}
