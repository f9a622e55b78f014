"""A version of the desired state."""

from typing import NamedTuple

from rattanlug.desired import limits, organisation, route, service


class DesiredState(NamedTuple):
    """Routes, services, organisations and limits at one version.

    Attributes
    ----------
    version : int
        Increases with each change.
    routes : tuple of route.Route
    services : dict of str to service.Service
    organisations : tuple of organisation.Organisation
        Empty when callers need no key.
    limits : limits.Limits
    """

    version: int
    routes: tuple[route.Route, ...]
    services: dict[str, service.Service]
    organisations: tuple[organisation.Organisation, ...]
    limits: limits.Limits
