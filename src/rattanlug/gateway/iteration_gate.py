"""Limits how much work of one kind starts in one iteration of the event loop.

During a burst that exceeds the VM's processor capacity, all queued requests would
otherwise start in the same iteration. Reads of the store, digests of other VMs and
responses to callers each take several iterations and would be delayed by seconds.
The same holds for large responses of upstreams that arrive at the same time.
"""

import trio

from rattanlug.daemon import clock
from rattanlug.gateway import loop_utilisation

# No further request starts in an iteration that has run this long. Changes must apply
# within seconds, and applying one may take many such iterations.
MAX_ITERATION_SECONDS = 0.04
# The same for reading a further part of a large response, which may be one without end.
MAX_READING_ITERATION_SECONDS = 0.01


class IterationGate:
    """Lets at least one unit of work start in each iteration, more while it is short.

    Parameters
    ----------
    utilisation : loop_utilisation.LoopUtilisation
    max_iteration_seconds : float
        No further unit starts in an iteration that has run this long.
    """

    def __init__(
        self,
        utilisation: loop_utilisation.LoopUtilisation,
        max_iteration_seconds: float = MAX_ITERATION_SECONDS,
    ) -> None:
        self._utilisation = utilisation
        self._max_iteration_seconds = max_iteration_seconds
        # Iteration in which the last unit started.
        self._last_iteration = -1

    def may_start(self, now: float) -> bool:
        """Tell whether a unit of work may start now."""
        if self._last_iteration != self._utilisation.iterations:
            return True
        return self._utilisation.iteration_seconds(now) < self._max_iteration_seconds

    def record_start(self) -> None:
        """Record that a unit of work starts."""
        self._last_iteration = self._utilisation.iterations

    async def take_turn(self) -> None:
        """Wait until a unit of work may start, and record that it does."""
        while not self.may_start(clock.now()):
            await trio.lowlevel.checkpoint()
        self.record_start()
