"""Takes the less loaded of two upstreams picked at random."""

import random
from collections.abc import Sequence

from rattanlug.routing import registry, upstream_view


@registry.register("two_choices")
class TwoChoices:
    """Pick by reported load, which lags; by the own count without a report."""

    def pick(
        self, views: Sequence[upstream_view.UpstreamView], rng: random.Random
    ) -> upstream_view.UpstreamView:
        """Return the less loaded of two."""
        pair = rng.sample(views, 2) if len(views) > 1 else views
        return min(pair, key=_load)


def _load(view: upstream_view.UpstreamView) -> float:
    own = view.in_flight / view.slots
    return own if view.reported is None else max(own, view.reported)
