"""Limits how many requests start in one iteration of the event loop.

During a burst that exceeds the VM's processor capacity, all queued requests would
otherwise start in the same iteration. Reads of the store, digests of other VMs and
responses to callers each take several iterations and would be delayed by seconds.
"""

from rattanlug.gateway import loop_utilisation

# No further request starts in an iteration that has run this long. Changes must apply
# within seconds, and applying one may take many such iterations.
MAX_ITERATION_SECONDS = 0.04


class IterationGate:
    """Lets at least one request start in each iteration, more while it is short.

    Parameters
    ----------
    utilisation : loop_utilisation.LoopUtilisation
    """

    def __init__(self, utilisation: loop_utilisation.LoopUtilisation) -> None:
        self._utilisation = utilisation
        # Iteration in which the last request started.
        self._last_iteration = -1

    def may_start(self, now: float) -> bool:
        """Tell whether a request may start now."""
        if self._last_iteration != self._utilisation.iterations:
            return True
        return self._utilisation.iteration_seconds(now) < MAX_ITERATION_SECONDS

    def record_start(self) -> None:
        """Record that a request starts."""
        self._last_iteration = self._utilisation.iterations
