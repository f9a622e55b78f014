"""Complete configuration of the fleet."""

from collections.abc import Mapping
from typing import NamedTuple

from rattanlug.model import (
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


class Configuration(NamedTuple):
    """One version of the whole configuration.

    Attributes
    ----------
    version : int
        Increases by 1 with each accepted change; 0 is the empty configuration.
    organisations, services, upstreams, data_centres, routes, moves : Mapping
        Records by name.
    keys : Mapping
        Keys by digest.
    links, drains, objectives : tuple
        Records in the order of the rule file.
    """

    version: int = 0
    organisations: Mapping[str, organisation.Organisation] = {}
    keys: Mapping[str, key.Key] = {}
    services: Mapping[str, service.Service] = {}
    routes: Mapping[str, route.Route] = {}
    upstreams: Mapping[str, upstream.Upstream] = {}
    data_centres: Mapping[str, data_centre.DataCentre] = {}
    links: tuple[link.Link, ...] = ()
    moves: Mapping[str, move.Move] = {}
    drains: tuple[drain.Drain, ...] = ()
    objectives: tuple[objective.Objective, ...] = ()
