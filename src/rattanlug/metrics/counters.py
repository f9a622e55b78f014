"""Named counters with labels."""

import collections
from collections.abc import Iterator

Labels = tuple[tuple[str, str], ...]


_MAX_SERIES = 5000
_OVERFLOW = (("overflow", "true"),)


class Counters:
    """Monotonic counters by name and labels.

    Parameters
    ----------
    max_series : int
        Limit on the number of series. Labels contain names of the configuration, which
        change while the process runs; beyond the limit, new labels share one series for
        each name.
    """

    def __init__(self, max_series: int = _MAX_SERIES) -> None:
        self._max_series = max_series
        self._values: dict[tuple[str, Labels], int] = collections.defaultdict(int)

    def add(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increment a counter.

        Parameters
        ----------
        name : str
            Name without the prefix and without ``_total``.
        amount : int
        **labels : str
        """
        series = (name, tuple(sorted(labels.items())))
        if series not in self._values and len(self._values) >= self._max_series:
            series = (name, _OVERFLOW)
        self._values[series] += amount

    def value(self, name: str, **labels: str) -> int:
        """Return the value of one counter, 0 if it was never incremented."""
        return self._values.get((name, tuple(sorted(labels.items()))), 0)

    def items(self) -> Iterator[tuple[str, Labels, int]]:
        """Yield name, labels and value in a stable order."""
        for (name, labels), value in sorted(self._values.items()):
            yield name, labels, value
