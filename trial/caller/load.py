"""Plans the requests of the load."""

import random
from typing import NamedTuple

from trial.caller import settings


class PlannedRequest(NamedTuple):
    """One request of the load.

    Attributes
    ----------
    start : float
        Seconds after the start of the load.
    data_centre : str
        Where the caller is.
    route : settings.CallerRoute
    key : settings.CallerKey or None
        None on open routes.
    number : int
    """

    start: float
    data_centre: str
    route: settings.CallerRoute
    key: settings.CallerKey | None
    number: int


def plan_load(caller_settings: settings.CallerSettings) -> list[PlannedRequest]:
    """Return requests with exponential intervals, the same for the same seed."""
    generator = random.Random(caller_settings.seed)
    data_centres = sorted(caller_settings.sources)
    route_weights = [each.weight for each in caller_settings.routes]
    key_weights = [each.weight for each in caller_settings.keys]
    requests = []
    start = generator.expovariate(caller_settings.rate)
    while start < caller_settings.seconds:
        route = generator.choices(caller_settings.routes, route_weights)[0]
        key = None
        if route.kind != "open":
            key = generator.choices(caller_settings.keys, key_weights)[0]
        data_centre = generator.choice(data_centres)
        requests.append(PlannedRequest(start, data_centre, route, key, len(requests)))
        start += generator.expovariate(caller_settings.rate)
    return requests
