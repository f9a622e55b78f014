"""Round-trip times to the other data centres."""

from collections.abc import Mapping

# Estimates until the first connection to the data centre is opened.
INITIAL_SAME_DATA_CENTRE_SECONDS = 0.0005
INITIAL_SAME_REGION_SECONDS = 0.002
INITIAL_OTHER_REGION_SECONDS = 0.08
# Weight of a new measurement in the moving average.
SMOOTHING = 0.2


class RoundTrips:
    """Estimates round-trip times from the time that connections take to open.

    Parameters
    ----------
    data_centre : str
        Data centre of this VM.
    region_of : Mapping of str to str
        Region of each data centre.
    """

    def __init__(self, data_centre: str, region_of: Mapping[str, str]) -> None:
        self._data_centre = data_centre
        self._region_of = region_of
        self._measured: dict[str, float] = {}

    def estimate(self, data_centre: str) -> float:
        """Return the estimated round-trip time to a data centre, seconds."""
        found = self._measured.get(data_centre)
        if found is not None:
            return found
        if data_centre == self._data_centre:
            return INITIAL_SAME_DATA_CENTRE_SECONDS
        if self._region_of.get(data_centre) == self._region_of.get(self._data_centre):
            return INITIAL_SAME_REGION_SECONDS
        return INITIAL_OTHER_REGION_SECONDS

    def record(self, data_centre: str, seconds: float) -> None:
        """Record the time that opening a connection to a data centre took."""
        current = self.estimate(data_centre)
        # A lost packet or a busy upstream makes a single connection slow, so outliers
        # are clipped.
        bounded = min(seconds, 2.0 * current + 0.01)
        self._measured[data_centre] = current + SMOOTHING * (bounded - current)
