"""Picks the upstream with the fewest requests of this VM in flight."""

import random
from collections.abc import Sequence

from rattanlug.routing import registry, upstream_view


@registry.register("least_in_flight")
class LeastInFlight:
    """Pick by this VM's requests in flight per slot; ties are broken at random."""

    def pick(
        self, views: Sequence[upstream_view.UpstreamView], rng: random.Random
    ) -> upstream_view.UpstreamView:
        """Return the upstream with the smallest load from this VM."""
        return min(views, key=lambda view: (view.in_flight / view.slots, rng.random()))
