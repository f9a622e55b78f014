"""Finds the objective for an organisation on a route."""

from collections.abc import Iterable

from rattanlug.model import objective


def find_objective(
    objectives: Iterable[objective.Objective], organisation: str, route: str
) -> objective.Objective | None:
    """Return the most specific objective, None if none matches.

    An objective for both names has precedence, then one for the organisation, then one
    for the route, then ``*/*``.
    """
    by_name = {(each.organisation, each.route): each for each in objectives}
    candidates = ((organisation, route), (organisation, "*"), ("*", route), ("*", "*"))
    return next((by_name[name] for name in candidates if name in by_name), None)
