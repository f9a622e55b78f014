"""The requests that callers intend to send."""

import random
from typing import NamedTuple

from trial.caller import settings


class Intent(NamedTuple):
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


def plan_load(wanted: settings.CallerSettings) -> list[Intent]:
    """Return requests with exponential intervals; the same for the same seed."""
    source = random.Random(wanted.seed)
    data_centres = sorted(wanted.sources)
    route_weights = [each.weight for each in wanted.routes]
    key_weights = [each.weight for each in wanted.keys]
    intents = []
    start = source.expovariate(wanted.rate)
    while start < wanted.seconds:
        route = source.choices(wanted.routes, route_weights)[0]
        key = None
        if route.kind != "open":
            key = source.choices(wanted.keys, key_weights)[0]
        data_centre = source.choice(data_centres)
        intents.append(Intent(start, data_centre, route, key, len(intents)))
        start += source.expovariate(wanted.rate)
    return intents
