"""Simulated faults of the new version in a rollout experiment."""

from collections.abc import Callable

FAULTS: dict[str, Callable] = {}


def fault(name):
    """Register a function that simulates a fault of the new version.

    The function maps the time in seconds, the version's share of the traffic and the
    route to the share of failed requests and the factor on the usual latency.
    """

    def register(function):
        FAULTS[name] = function
        return function

    return register


@fault("good")
def good(now, share, route):
    """Return no errors and the usual latency."""
    return 0.0, 1.0


@fault("bad_at_once")
def bad_at_once(now, share, route):
    """Fail 30% of requests."""
    return 0.3, 1.0


@fault("bad_slow")
def bad_slow(now, share, route):
    """Take 6 times as long."""
    return 0.0, 6.0


@fault("bad_slight")
def bad_slight(now, share, route):
    """Fail 5% of requests."""
    return 0.05, 1.0


@fault("bad_later")
def bad_later(now, share, route):
    """Fail 30% of requests from 200 s on."""
    return (0.3 if now >= 200 else 0.0), 1.0


@fault("bad_under_load")
def bad_under_load(now, share, route):
    """Fail 30% of requests once the version gets 30% of the traffic."""
    return (0.3 if share >= 0.3 else 0.0), 1.0


@fault("bad_one_route")
def bad_one_route(now, share, route):
    """Fail 30% of requests of the route with the least traffic."""
    return (0.3 if route == "claim" else 0.0), 1.0
