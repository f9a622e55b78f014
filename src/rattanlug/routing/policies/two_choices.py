"""Picks the less loaded of two random upstreams."""

import random
from collections.abc import Sequence

from rattanlug.routing import registry, upstream_view


@registry.register("two_choices")
class TwoChoices:
    """Pick the less loaded of two random upstreams.

    The load is the larger of the reported one, which is delayed, and that from this
    VM's own requests.
    """

    def pick(
        self, views: Sequence[upstream_view.UpstreamView], rng: random.Random
    ) -> upstream_view.UpstreamView:
        """Return the less loaded of two random upstreams."""
        pair = rng.sample(views, 2) if len(views) > 1 else views
        return min(pair, key=_load)


def _load(view: upstream_view.UpstreamView) -> float:
    own_load = view.in_flight / view.slots
    return own_load if view.reported_load is None else max(own_load, view.reported_load)
