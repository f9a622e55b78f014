"""Era of the store, which rises each time the store comes back from an older copy."""

import contextlib
from collections.abc import Iterator

import trio


class StoreEra:
    """Holds the latest era that any response of the store has shown.

    An era is 0 while the store sends none. Versions of rows and tables are comparable
    only within one era.
    """

    def __init__(self) -> None:
        self._current = 0
        self._scopes: set[trio.CancelScope] = set()

    @property
    def current(self) -> int:
        """Latest known era."""
        return self._current

    def observe(self, era: int) -> bool:
        """Record the era of a response; return whether it is newer than the latest."""
        if era <= self._current:
            return False
        self._current = era
        for each in self._scopes:
            each.cancel()
        return True

    @contextlib.contextmanager
    def until_change(self) -> Iterator[None]:
        """Cancel what runs in the context when the era rises."""
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)
