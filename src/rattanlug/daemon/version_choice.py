"""Version of the service for each request."""

import random
from collections.abc import Callable

from rattanlug.daemon import active_configuration
from rattanlug.model import configuration, route


class VersionChoice:
    """Picks the version that receives a request.

    Parameters
    ----------
    active : active_configuration.ActiveConfiguration
    clock : callable
        Returns the present time in seconds.
    rng : random.Random
    """

    def __init__(
        self,
        active: active_configuration.ActiveConfiguration,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._active = active
        self._clock = clock
        self._rng = rng

    def configure(self, current: configuration.Configuration) -> None:
        """Take the moves of a new configuration."""

    def choose(self, wanted: route.Route) -> str:
        """Return the version for one request."""
        return self._active.configuration.services[wanted.service].version

    def finished(
        self, wanted: route.Route, version: str, failed: bool, latency: float
    ) -> None:
        """Take the outcome of one attempt."""

    def finished_moves(self) -> list:
        """Return the final states of moves for gossip."""
        return []

    def finish(self, move: str, state: str) -> None:
        """Note the final state of a move."""

    def describe(self) -> list[dict]:
        """Return the moves with their states."""
        return []
