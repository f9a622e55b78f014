"""Which request identifiers an upstream has been sent lately."""


class RecentIdentifiers:
    """Remembers identifiers for at least a window and at most two.

    Parameters
    ----------
    window : float
        Seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._began = 0.0
        self._current: set[int] = set()
        self._previous: set[int] = set()

    def is_new(self, upstream: str, identifier: bytes, now: float) -> bool:
        """Remember an identifier; return whether it has not been used lately.

        Equal hashes count as a repeat, which only costs a connection.
        """
        if now - self._began >= self._window:
            kept = self._current if now - self._began < 2 * self._window else set()
            self._previous, self._current = kept, set()
            self._began = now
        entry = hash((upstream, identifier))
        known = entry in self._current or entry in self._previous
        self._current.add(entry)
        return not known
