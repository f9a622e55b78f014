"""Picks the upstream with the lowest product of latency and load."""

import random
from collections.abc import Sequence

from rattanlug.routing import registry, upstream_view


@registry.register("lowest_latency")
class LowestLatency:
    """Pick by average latency times load, both of this VM's requests.

    Upstreams without a known latency come first.
    """

    def pick(
        self, views: Sequence[upstream_view.UpstreamView], rng: random.Random
    ) -> upstream_view.UpstreamView:
        """Return the upstream with the smallest product."""
        return min(
            views,
            key=lambda view: (
                (view.latency or 0.0) * (view.in_flight + 1) / view.slots,
                rng.random(),
            ),
        )
