"""Latency histograms with labels."""

from collections.abc import Iterator

from hdrh import histogram

from rattanlug.metrics import counters

_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 60_000_000
_SIGNIFICANT_DIGITS = 2
_MICROSECONDS_PER_SECOND = 1_000_000
_MAX_SERIES = 200
_OVERFLOW = (("overflow", "true"),)


class Histograms:
    """HdrHistogram instances by name and labels.

    Parameters
    ----------
    max_series : int
        Limit on the number of histograms; beyond it, new labels share one histogram for
        each name.
    """

    def __init__(self, max_series: int = _MAX_SERIES) -> None:
        self._max_series = max_series
        self._histograms: dict[tuple[str, counters.Labels], histogram.HdrHistogram] = {}

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Record one duration.

        Parameters
        ----------
        name : str
        seconds : float
            Values above 60 s are recorded as 60 s.
        **labels : str
        """
        series = (name, tuple(sorted(labels.items())))
        target = self._histograms.get(series)
        if target is None and len(self._histograms) >= self._max_series:
            series = (name, _OVERFLOW)
            target = self._histograms.get(series)
        if target is None:
            target = histogram.HdrHistogram(
                _LOWEST_MICROSECONDS, _HIGHEST_MICROSECONDS, _SIGNIFICANT_DIGITS
            )
            self._histograms[series] = target
        microseconds = int(seconds * _MICROSECONDS_PER_SECOND)
        target.record_value(
            min(max(microseconds, _LOWEST_MICROSECONDS), _HIGHEST_MICROSECONDS)
        )

    def items(
        self,
    ) -> Iterator[tuple[str, counters.Labels, histogram.HdrHistogram]]:
        """Yield name, labels and histogram in a stable order."""
        for name, labels in sorted(self._histograms):
            yield name, labels, self._histograms[name, labels]
