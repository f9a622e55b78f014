"""The desired state in force and how fresh it is."""

from __future__ import annotations

import math

from rattanlug.desired import key_index, route_index, state


class StateHolder:
    """Keeps the newest desired state that was seen; versions never go back."""

    def __init__(self) -> None:
        self._state: state.DesiredState | None = None
        self._routes = route_index.RouteIndex(())
        self._keys = key_index.KeyIndex(())
        self._read_at = -math.inf

    @property
    def state(self) -> state.DesiredState | None:
        """State in force, None before the first was read."""
        return self._state

    @property
    def version(self) -> int:
        """Version in force, 0 before the first was read."""
        return self._state.version if self._state else 0

    @property
    def routes(self) -> route_index.RouteIndex:
        """Routes in force."""
        return self._routes

    @property
    def keys(self) -> key_index.KeyIndex:
        """Keys in force."""
        return self._keys

    def accept(self, found: state.DesiredState) -> bool:
        """Put a version in force if it is newer; return whether it is."""
        if found.version <= self.version:
            return False
        self._state = found
        self._routes = route_index.RouteIndex(found.routes)
        self._keys = key_index.KeyIndex(found.organisations)
        return True

    def confirm(self, read_at: float) -> None:
        """Note that the state in force was the newest at a moment.

        Parameters
        ----------
        read_at : float
            Moment before the read of the store was sent, seconds.
        """
        self._read_at = max(self._read_at, read_at)

    def age(self, now: float) -> float:
        """Return for how long the state may have been outdated, seconds."""
        return now - self._read_at
