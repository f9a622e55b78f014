"""Creates load-balancing policies by name."""

from rattanlug.routing import registry
from rattanlug.routing.policies import (  # noqa: F401 (modules register themselves)
    earliest_answer,
    least_in_flight,
    lowest_latency,
    round_robin,
    two_choices,
)

# docs/decisions/upstream_choice.md has the comparison that this choice is based on.
DEFAULT = "earliest_answer"


def create(name: str = DEFAULT) -> registry.Policy:
    """Return a new instance of a policy.

    Raises
    ------
    KeyError
        If no policy is registered under the name.
    """
    return registry.POLICIES[name]()
