"""Takes the upstream with the fewest own requests."""

import random
from collections.abc import Sequence

from rattanlug.routing import registry, upstream_view


@registry.register("least_in_flight")
class LeastInFlight:
    """Pick by this VM's own count per slot; ties are broken at random."""

    def pick(
        self, views: Sequence[upstream_view.UpstreamView], rng: random.Random
    ) -> upstream_view.UpstreamView:
        """Return the upstream with the smallest own load."""
        return min(views, key=lambda view: (view.in_flight / view.slots, rng.random()))
