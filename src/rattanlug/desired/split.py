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
    if len(found.parts) == 1:
        return found.parts[0].service
    weights = [each.weight for each in found.parts]
    return rng.choices(found.parts, weights)[0].service
