"""Picks the upstream with the shortest expected response time."""

import random
import statistics
from collections.abc import Sequence

from rattanlug.routing import registry, upstream_view

# Part of the estimate that doesn't depend on load. A small value makes the estimate
# rise steeply with load, so that few requests are sent to an upstream that stalls.
IDLE_SHARE = 0.2
# Reported load covers all VMs but is delayed, so it counts less than this VM's own
# requests in flight.
REPORT_INFLUENCE = 0.3
# Ratio of the age of the oldest request in flight to the average latency, above which
# the age is used instead.
STALL_FACTOR = 1.5
UNKNOWN_LATENCY_SECONDS = 0.1


@registry.register("earliest_answer")
class EarliestAnswer:
    """Pick by expected latency.

    The estimate starts from this VM's average latency. If the oldest request in flight
    is well above the average, its age is used instead: a stall shows in the requests in
    flight long before responses raise the average. The estimate grows with own and
    reported load, and with a lower weight of the upstream, so that upstreams that start
    cold or fail get fewer requests.
    """

    def pick(
        self, views: Sequence[upstream_view.UpstreamView], rng: random.Random
    ) -> upstream_view.UpstreamView:
        """Return the upstream with the smallest estimate."""
        known = [view.latency for view in views if view.latency is not None]
        median_latency = statistics.median(known) if known else UNKNOWN_LATENCY_SECONDS
        return min(
            views, key=lambda view: (_estimate(view, median_latency), rng.random())
        )


def _estimate(view: upstream_view.UpstreamView, median_latency: float) -> float:
    latency = median_latency if view.latency is None else view.latency
    if view.oldest_request_age > STALL_FACTOR * latency:
        latency = view.oldest_request_age
    own_load = view.in_flight / view.slots
    reported_load = (
        own_load
        if view.reported_load is None
        else min(1.0, max(own_load, view.reported_load))
    )
    load = IDLE_SHARE + own_load + REPORT_INFLUENCE * reported_load
    return latency * load / view.weight
