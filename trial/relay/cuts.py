"""The links that are cut."""

import trio


class Cuts:
    """Pairs of places that cannot reach each other."""

    def __init__(self):
        self._pairs: frozenset[frozenset[str]] = frozenset()
        self._changed = trio.Event()

    def replace(self, pairs: list[list[str]]) -> None:
        """Cut exactly these pairs and restore all others."""
        self._pairs = frozenset(frozenset(pair) for pair in pairs)
        self._changed.set()
        self._changed = trio.Event()

    def is_cut(self, first: str, second: str) -> bool:
        """Return whether two places cannot reach each other."""
        return frozenset((first, second)) in self._pairs

    async def wait_open(self, first: str, second: str) -> None:
        """Wait until two places can reach each other."""
        while self.is_cut(first, second):
            await self._changed.wait()
