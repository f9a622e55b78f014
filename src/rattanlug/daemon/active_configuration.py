"""The configuration in force and what is derived from it."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

from rattanlug.caller import route_table
from rattanlug.keys import key_table
from rattanlug.model import configuration
from rattanlug.routing import candidates, tiers
from rattanlug.rules import parser
from rattanlug.seats import plan

Observer = Callable[[configuration.Configuration, float], None]


class ActiveConfiguration:
    """Holds the version in force, which only a newer one replaces.

    Parameters
    ----------
    data_centre : str
        Data centre of this VM.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._text = ""
        self._observers: list[Observer] = []
        self._install(configuration.Configuration(), None)

    @property
    def configuration(self) -> configuration.Configuration:
        """Configuration in force."""
        return self._configuration

    @property
    def text(self) -> str:
        """Rule text of the configuration in force."""
        return self._text

    @property
    def digest(self) -> str:
        """SHA-256 of the rule text, hexadecimal."""
        return hashlib.sha256(self._text.encode()).hexdigest()

    @property
    def routes(self) -> route_table.RouteTable:
        """Routes by method and path."""
        return self._routes

    @property
    def keys(self) -> key_table.KeyTable:
        """Keys by digest."""
        return self._keys

    @property
    def plan(self) -> plan.SeatPlan:
        """Seats, each with its slots and its share of the fleet-wide limits."""
        return self._plan

    @property
    def region(self) -> str:
        """Region of this VM, empty while its data centre is not configured."""
        own = self._configuration.data_centres.get(self._data_centre)
        return own.region if own else ""

    def observe(self, observer: Observer) -> None:
        """Call ``observer(configuration, now)`` after each change."""
        self._observers.append(observer)

    def apply(self, text: str, version: int, now: float) -> bool:
        """Put a newer version in force.

        Parameters
        ----------
        text : str
        version : int
        now : float
            Seconds.

        Returns
        -------
        bool
            False when the version is not newer than the one in force.

        Raises
        ------
        error.InvalidInputError
            When the rules are not valid; nothing changes then.
        """
        if version <= self._configuration.version:
            return False
        parsed = parser.parse_rules(text, version)
        self._text = text
        self._install(parsed, self._keys)
        for observer in self._observers:
            observer(parsed, now)
        return True

    def route_count(self, service: str) -> int:
        """Return the number of routes of a service."""
        routes = self._configuration.routes.values()
        return sum(entry.service == service for entry in routes)

    def tiers(self, service: str, version: str) -> tiers.Tiers:
        """Return the upstreams of a service and version by distance."""
        cached = self._tiers.get((service, version))
        if cached is None:
            cached = candidates.candidates(
                self._configuration, service, version, self._data_centre, self.region
            )
            # A peer may send any name; caching only configured services bounds the
            # dictionary.
            if service in self._configuration.services and any(cached):
                self._tiers[service, version] = cached
        return cached

    def _install(
        self,
        parsed: configuration.Configuration,
        previous_keys: key_table.KeyTable | None,
    ) -> None:
        self._configuration = parsed
        self._routes = route_table.RouteTable(parsed)
        self._keys = key_table.KeyTable(parsed, previous_keys)
        self._plan = plan.SeatPlan(parsed)
        self._tiers: dict[tuple[str, str], tiers.Tiers] = {}
