"""The desired state in force and its age."""

from __future__ import annotations

import math
from collections.abc import Callable

from rattanlug.desired import key_index, route_index, state


class StateHolder:
    """Holds the latest desired state; its version never decreases."""

    def __init__(self) -> None:
        self._state: state.DesiredState | None = None
        self._routes = route_index.RouteIndex(())
        self._keys = key_index.KeyIndex(())
        self._read_at = -math.inf

    @property
    def state(self) -> state.DesiredState | None:
        """State in force; None before the first read."""
        return self._state

    @property
    def version(self) -> int:
        """Version in force; 0 before the first read."""
        return self._state.version if self._state else 0

    @property
    def routes(self) -> route_index.RouteIndex:
        """Routes in force."""
        return self._routes

    @property
    def keys(self) -> key_index.KeyIndex:
        """Keys in force."""
        return self._keys

    def accept(
        self, candidate: state.DesiredState, prepare: Callable[[], None] | None = None
    ) -> bool:
        """Put a state in force if its version is newer; return whether it is.

        Parameters
        ----------
        candidate : state.DesiredState
        prepare : callable, optional
            Prepares what requests need beside the state; if it raises an error, the
            state in force remains.
        """
        if candidate.version <= self.version:
            return False
        routes = route_index.RouteIndex(candidate.routes)
        keys = key_index.KeyIndex(candidate.organisations)
        if prepare is not None:
            prepare()
        self._state, self._routes, self._keys = candidate, routes, keys
        return True

    def confirm(self, read_at: float) -> None:
        """Record that the state in force was the latest one in the store.

        Parameters
        ----------
        read_at : float
            Time at which the read of the store was sent, seconds.
        """
        self._read_at = max(self._read_at, read_at)

    def age(self, now: float) -> float:
        """Return the time since the state was last known to be up to date, seconds."""
        return now - self._read_at
