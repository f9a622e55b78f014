"""Request arrivals, drawn from a seed so that every policy gets the same ones."""

import math
import random
from collections.abc import Callable
from typing import NamedTuple

from trial.experiments import deployment, upstream_model


class Arrival(NamedTuple):
    """One request.

    Attributes
    ----------
    time : float
        Seconds.
    organisation : int
        Index in ``deployment.ORGANISATION_SHARES``.
    pool : int
        Index in the pools of the deployment.
    vm_position : float
        Position in the list of live VMs, 0 to 1; selects the VM that gets the request.
    service_time_factor : float
    """

    time: float
    organisation: int
    pool: int
    vm_position: float
    service_time_factor: float


def generate(
    plan: deployment.Deployment,
    rng: random.Random,
    duration: float,
    load: Callable[[float], float],
    excess: tuple[int, float, float] | None = None,
) -> list[Arrival]:
    """Return arrivals sorted by time.

    Parameters
    ----------
    plan : deployment.Deployment
    rng : random.Random
    duration : float
        Seconds.
    load : Callable
        Mean share of busy slots at a given time in seconds.
    excess : tuple, optional
        Organisation, factor on its rate, and start in seconds. The rate limit of this
        organisation is modelled as one fleet-wide token bucket with a burst of 1 s.
    """
    arrivals = []
    # Product of the means of the lognormal factor, the upstreams' speeds and stalls.
    mean = math.exp(0.4**2 / 2) * 1.05 * 1.12
    for index, pool in enumerate(plan.pools):
        capacity = pool.upstreams * pool.slots / (pool.service_time * mean)
        for organisation, share in enumerate(deployment.ORGANISATION_SHARES):
            nominal = capacity * _relative_throughput(load(0.0)) * share
            tokens, refilled_at, now = nominal, 0.0, 0.0
            while True:
                rate = capacity * _relative_throughput(load(now)) * share
                exceeds_rate = excess is not None and excess[0] == organisation
                if exceeds_rate and now >= excess[2]:
                    rate *= excess[1]
                now += rng.expovariate(rate)
                if now >= duration:
                    break
                if exceeds_rate:
                    tokens = min(nominal, tokens + (now - refilled_at) * nominal)
                    refilled_at = now
                    if tokens < 1:
                        continue
                    tokens -= 1
                service_time_factor = rng.lognormvariate(0.0, 0.4)
                arrivals.append(
                    Arrival(now, organisation, index, rng.random(), service_time_factor)
                )
    return sorted(arrivals)


def _relative_throughput(load: float) -> float:
    return load / (1 + upstream_model.LOAD_SLOWDOWN * load)
