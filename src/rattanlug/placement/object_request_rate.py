"""Estimates how often the same object is asked for."""

# A count begins anew after this time, so that it follows the load.
PERIOD_SECONDS = 60.0
# Time before the first estimate, and requests for it.
LEAST_SECONDS = 0.4
LEAST_REQUESTS = 6


class ObjectRequestRate:
    """Requests a second for one object, from how many repeat an earlier one.

    Requests divided by distinct objects would be far too high at first, when nearly
    every request is the first one for its object.
    """

    def __init__(self) -> None:
        self._began: float | None = None
        self._requests = 0
        self._objects: set[str] = set()
        self._rate: float | None = None

    def note(self, object_id: str, now: float) -> None:
        """Count a request."""
        if self._began is None or now - self._began > PERIOD_SECONDS:
            self._began = now
            self._requests = 0
            self._objects.clear()
        self._requests += 1
        self._objects.add(object_id)
        elapsed = now - self._began
        if elapsed >= LEAST_SECONDS and self._requests >= LEAST_REQUESTS:
            self._rate = self._mean() / elapsed

    @property
    def rate(self) -> float | None:
        """Requests a second for one object at this VM, None before an estimate."""
        return self._rate

    def _mean(self) -> float:
        """Return the mean number of requests for an object, seen or not.

        With a mean m over many objects, requests divided by distinct objects are
        m / (1 - exp(-m)): about 1 + m / 2 for a small m, and m for a large one.
        """
        repeats = self._requests / len(self._objects) - 1.0
        return repeats + min(1.0, repeats)
