"""Named counters with labels."""

import collections
from collections.abc import Iterator

Labels = tuple[tuple[str, str], ...]


class Counters:
    """Counters that only rise, by name and labels."""

    def __init__(self) -> None:
        self._values: dict[tuple[str, Labels], int] = collections.defaultdict(int)

    def add(self, name: str, amount: int = 1, **labels: str) -> None:
        """Raise a counter.

        Parameters
        ----------
        name : str
            Name without prefix and without ``_total``.
        amount : int
        **labels : str
        """
        self._values[name, tuple(sorted(labels.items()))] += amount

    def value(self, name: str, **labels: str) -> int:
        """Return the value of one counter, 0 when it never rose."""
        return self._values.get((name, tuple(sorted(labels.items()))), 0)

    def items(self) -> Iterator[tuple[str, Labels, int]]:
        """Yield name, labels and value in a stable order."""
        for (name, labels), value in sorted(self._values.items()):
            yield name, labels, value
