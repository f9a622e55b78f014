"""Picks the service of a request on a route with several."""

import random

from rattanlug.desired import route


def pick_service(found: route.Route, rng: random.Random) -> str:
    """Return a service of a route, in the proportions of the weights.

    Parameters
    ----------
    found : route.Route
    rng : random.Random
    """
    if len(found.weighted_services) == 1:
        return found.weighted_services[0].service
    weights = [each.weight for each in found.weighted_services]
    return rng.choices(found.weighted_services, weights)[0].service
