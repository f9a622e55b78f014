"""Requests as they arrive, the same for every policy."""

import math
import random
from collections.abc import Callable
from typing import NamedTuple

from trial.experiments import deployment, upstream_model


class Arrival(NamedTuple):
    """One request.

    Attributes
    ----------
    moment : float
        Seconds.
    organisation : int
    pool : int
    place : float
        Position among the VMs, 0 to 1; picks the VM that gets the request.
    work : float
        Factor on the service time.
    """

    moment: float
    organisation: int
    pool: int
    place: float
    work: float


def generate(
    where: deployment.Deployment,
    rng: random.Random,
    duration: float,
    load: Callable[[float], float],
    excess: tuple[int, float, float] | None = None,
) -> list[Arrival]:
    """Return arrivals sorted by time.

    Parameters
    ----------
    where : deployment.Deployment
    rng : random.Random
    duration : float
        Seconds.
    load : Callable
        Share of all slots that are busy on average at a time.
    excess : tuple, optional
        Organisation, factor and start of a tenant above its rate. The admission of
        section 4.3 is modelled as one global bucket with a burst of 1 s.
    """
    found = []
    # Means of the lognormal factor, of the upstreams' speeds and of their stalls.
    mean = math.exp(0.4**2 / 2) * 1.05 * 1.12
    for index, pool in enumerate(where.pools):
        capacity = pool.upstreams * pool.slots / (pool.work * mean)
        for organisation, share in enumerate(deployment.ORGANISATION_SHARES):
            nominal = capacity * _work_share(load(0.0)) * share
            level, filled_at, now = nominal, 0.0, 0.0
            while True:
                rate = capacity * _work_share(load(now)) * share
                limited = excess is not None and excess[0] == organisation
                if limited and now >= excess[2]:
                    rate *= excess[1]
                now += rng.expovariate(rate)
                if now >= duration:
                    break
                if limited:
                    level = min(nominal, level + (now - filled_at) * nominal)
                    filled_at = now
                    if level < 1:
                        continue
                    level -= 1
                work = rng.lognormvariate(0.0, 0.4)
                found.append(Arrival(now, organisation, index, rng.random(), work))
    return sorted(found)


def _work_share(load: float) -> float:
    return load / (1 + upstream_model.LOAD_SLOWDOWN * load)
