"""Request identifiers that were recently sent to each upstream."""


class RecentRequestIds:
    """Stores identifiers for at least one window and at most two.

    Parameters
    ----------
    window : float
        Length of the window, seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._window_start = 0.0
        self._current: set[int] = set()
        self._previous: set[int] = set()

    def is_new(self, upstream: str, identifier: bytes, now: float) -> bool:
        """Store an identifier; return whether it has not been used recently.

        A hash collision counts as a repetition, which only costs a new connection.
        """
        if now - self._window_start >= self._window:
            kept = (
                self._current if now - self._window_start < 2 * self._window else set()
            )
            self._previous, self._current = kept, set()
            self._window_start = now
        entry = hash((upstream, identifier))
        known = entry in self._current or entry in self._previous
        self._current.add(entry)
        return not known
