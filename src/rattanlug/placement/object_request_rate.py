"""Estimates the mean request rate per object."""

# Counting restarts after this time, so that the estimate follows the load.
PERIOD_SECONDS = 60.0
# Minimum time and number of requests for an estimate.
MIN_SECONDS = 0.4
MIN_REQUESTS = 6


class ObjectRequestRate:
    """Estimates requests per second and object from the share of repeated objects.

    Dividing the requests by the distinct objects would overestimate the rate at the
    start of a period, when nearly every request is the first one for its object.
    """

    def __init__(self) -> None:
        self._started_at: float | None = None
        self._requests = 0
        self._objects: set[str] = set()
        self._rate: float | None = None

    def record(self, object_id: str, now: float) -> None:
        """Record a request for an object."""
        if self._started_at is None or now - self._started_at > PERIOD_SECONDS:
            self._started_at = now
            self._requests = 0
            self._objects.clear()
        self._requests += 1
        self._objects.add(object_id)
        elapsed = now - self._started_at
        if elapsed >= MIN_SECONDS and self._requests >= MIN_REQUESTS:
            self._rate = self._mean_requests_per_object() / elapsed

    @property
    def rate(self) -> float | None:
        """Requests per second and object at this VM; None before an estimate."""
        return self._rate

    def _mean_requests_per_object(self) -> float:
        """Return the mean requests per object, including objects not requested yet.

        For a mean of m over many objects, the requests divided by the distinct objects
        are m / (1 - exp(-m)): about 1 + m / 2 for a small m, and m for a large one.
        """
        repeats = self._requests / len(self._objects) - 1.0
        return repeats + min(1.0, repeats)
