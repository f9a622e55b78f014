"""Limits the time for large responses in one iteration of the event loop.

Upstreams that send without end, or many large responses at the same time, have a part
to be read in each iteration, on each of their connections. Everything else would wait
for all of them.
"""

from collections.abc import Callable

import trio

from rattanlug.daemon import clock
from rattanlug.gateway import loop_utilisation

# No further part is handled in an iteration this long after the first one.
MAX_READING_SECONDS = 0.01


class ReadingGate:
    """Lets at least one part be handled in each iteration, more for a short time.

    Parameters
    ----------
    utilisation : loop_utilisation.LoopUtilisation
    """

    def __init__(self, utilisation: loop_utilisation.LoopUtilisation) -> None:
        self._utilisation = utilisation
        # Iteration in which the last part was handled, and time of its first part.
        self._last_iteration = -1
        self._first_at = 0.0

    async def take_turn(self, check_deadline: Callable[[], None]) -> None:
        """Wait until a part may be handled, and record that it is.

        Parameters
        ----------
        check_deadline : callable
            Called while waiting; it raises when the request has no time left.
        """
        while not self.try_begin(clock.now()):
            await trio.lowlevel.checkpoint()
            check_deadline()

    def try_begin(self, now: float) -> bool:
        """Tell whether a part may be handled now, and record it if so.

        Parameters
        ----------
        now : float
            Time on the VM's monotonic clock, seconds.
        """
        if self._last_iteration != self._utilisation.iterations:
            self._last_iteration = self._utilisation.iterations
            self._first_at = now
            return True
        return now - self._first_at < MAX_READING_SECONDS
