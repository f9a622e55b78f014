"""Traffic split of a route over several services."""

import random

from rattanlug.desired import route


def pick_service(found: route.Route, rng: random.Random) -> str:
    """Return a random service of a route, in proportion to the weights.

    Parameters
    ----------
    found : route.Route
    rng : random.Random
    """
    if len(found.weighted_services) == 1:
        return found.weighted_services[0].service
    weights = [each.weight for each in found.weighted_services]
    return rng.choices(found.weighted_services, weights)[0].service
