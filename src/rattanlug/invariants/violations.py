"""Counters of violated invariants."""

from collections.abc import Mapping

from rattanlug.invariants import invariant


class Violations:
    """Counts violations; any count above zero fails a trial."""

    def __init__(self):
        self._counts = dict.fromkeys(invariant.Invariant, 0)

    @property
    def counts(self) -> Mapping[invariant.Invariant, int]:
        """Number of violations by invariant since the start."""
        return dict(self._counts)

    @property
    def total(self) -> int:
        """Number of violations of all invariants."""
        return sum(self._counts.values())

    def check(self, name: invariant.Invariant, condition: bool) -> bool:
        """Count one violation when the condition is false.

        Parameters
        ----------
        name : invariant.Invariant
        condition : bool

        Returns
        -------
        bool
            The condition, so that the caller can stop if it is violated.

        Raises
        ------
        KeyError
            If ``name`` is not an ``Invariant``.
        """
        if not condition:
            self._counts[name] += 1
        return condition
