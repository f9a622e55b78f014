"""Picks the upstreams in turn."""

import random
from collections.abc import Sequence

from rattanlug.routing import registry, upstream_view


@registry.register("round_robin")
class RoundRobin:
    """Pick the upstream that follows the previous one in the order of names."""

    def __init__(self):
        self._previous = ""

    def pick(
        self, views: Sequence[upstream_view.UpstreamView], rng: random.Random
    ) -> upstream_view.UpstreamView:
        """Return the next upstream, starting over after the last one."""
        ordered = sorted(views)
        later = (view for view in ordered if view.name > self._previous)
        picked = next(later, ordered[0])
        self._previous = picked.name
        return picked
