"""Look-up of a policy by name."""

from rattanlug.routing import registry
from rattanlug.routing.policies import (  # noqa: F401 (modules register themselves)
    earliest_answer,
    least_in_flight,
    lowest_latency,
    round_robin,
    two_choices,
)

# Chosen by the measurement in docs/decisions/upstream_choice.md.
DEFAULT = "earliest_answer"


def create(name: str = DEFAULT) -> registry.Policy:
    """Return a new policy of that name.

    Raises
    ------
    KeyError
        If no policy has that name.
    """
    return registry.POLICIES[name]()
