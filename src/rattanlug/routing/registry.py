"""Registry of load-balancing policies."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from rattanlug.routing import upstream_view


class Policy(Protocol):
    """Picks one of several upstreams that have a free slot."""

    def pick(
        self, views: Sequence[upstream_view.UpstreamView], rng: random.Random
    ) -> upstream_view.UpstreamView:
        """Return one of ``views``, which must not be empty."""


POLICIES: dict[str, type[Policy]] = {}


def register(name: str) -> Callable[[type], type]:
    """Return a decorator that registers a policy class under a name."""

    def decorate(policy_class: type) -> type:
        POLICIES[name] = policy_class
        return policy_class

    return decorate
