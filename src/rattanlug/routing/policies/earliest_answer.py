"""Takes the upstream that is expected to answer first."""

import random
import statistics
from collections.abc import Sequence

from rattanlug.routing import registry, upstream_view

# Share of an idle upstream's latency in the estimate; the rest grows with load. Small,
# so that few requests meet an upstream that stalls.
IDLE_SHARE = 0.2
# A report covers all VMs but lags, so it counts less than the own requests.
REPORT_INFLUENCE = 0.3
STALL_FACTOR = 1.5
UNKNOWN_LATENCY_SECONDS = 0.1


@registry.register("earliest_answer")
class EarliestAnswer:
    """Pick by expected latency.

    The estimate is the own average, or the age of the longest running request when
    that is larger: an upstream that stalls shows in its running requests long before
    its answers raise the average. It grows with own and reported load and shrinks the
    share of upstreams that start cold or fail.
    """

    def pick(
        self, views: Sequence[upstream_view.UpstreamView], rng: random.Random
    ) -> upstream_view.UpstreamView:
        """Return the upstream with the smallest estimate."""
        known = [view.latency for view in views if view.latency is not None]
        typical = statistics.median(known) if known else UNKNOWN_LATENCY_SECONDS
        return min(views, key=lambda view: (_estimate(view, typical), rng.random()))


def _estimate(view: upstream_view.UpstreamView, typical: float) -> float:
    latency = typical if view.latency is None else view.latency
    if view.oldest > STALL_FACTOR * latency:
        latency = view.oldest
    own = view.in_flight / view.slots
    reported = own if view.reported is None else min(1.0, max(own, view.reported))
    load = IDLE_SHARE + own + REPORT_INFLUENCE * reported
    return latency * load / view.weight
