"""The kinds of rules, one module each; importing the package registers them."""

from rattanlug.rules.kinds import (
    data_centre,
    drain,
    key,
    link,
    move,
    objective,
    organisation,
    route,
    service,
    upstream,
)

__all__ = [
    "data_centre",
    "drain",
    "key",
    "link",
    "move",
    "objective",
    "organisation",
    "route",
    "service",
    "upstream",
]
