"""Round trips between this data centre and the others."""

from collections.abc import Mapping

# Assumed until a connection was opened there, seconds.
SAME_DATA_CENTRE = 0.0005
SAME_REGION = 0.002
OTHER_REGION = 0.08
# Weight of one measurement.
SMOOTHING = 0.2


class RoundTrips:
    """Learns round trips from the time that connections take to open.

    Parameters
    ----------
    data_centre : str
        Of this VM.
    region_of : Mapping of str to str
        Region of each data centre.
    """

    def __init__(self, data_centre: str, region_of: Mapping[str, str]) -> None:
        self._data_centre = data_centre
        self._region_of = region_of
        self._measured: dict[str, float] = {}

    def estimate(self, data_centre: str) -> float:
        """Return the round trip to a data centre, seconds."""
        found = self._measured.get(data_centre)
        if found is not None:
            return found
        if data_centre == self._data_centre:
            return SAME_DATA_CENTRE
        if self._region_of.get(data_centre) == self._region_of.get(self._data_centre):
            return SAME_REGION
        return OTHER_REGION

    def record(self, data_centre: str, seconds: float) -> None:
        """Take the time that opening a connection took."""
        present = self.estimate(data_centre)
        # A lost packet or a busy upstream makes single connections slow.
        bounded = min(seconds, 2.0 * present + 0.01)
        self._measured[data_centre] = present + SMOOTHING * (bounded - present)
