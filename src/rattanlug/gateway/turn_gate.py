"""Bounds the requests that begin in one turn of the event loop.

Answers a burst beyond the processor of a VM: all requests that wait would begin in the
same turn, and reading the store, hearing other VMs and answering callers, which take
several turns each, would fall seconds behind.
"""

from rattanlug.gateway import loop_busy

# No further request begins in a turn that has run for this long, seconds. Changes have
# to be in force within seconds, so work may take many such turns.
TURN_SECONDS = 0.04


class TurnGate:
    """Lets requests begin while the present turn is short, at least one in each.

    Parameters
    ----------
    busy : loop_busy.LoopBusy
    """

    def __init__(self, busy: loop_busy.LoopBusy) -> None:
        self._busy = busy
        # Turn in which a request began last.
        self._turn = -1

    def may_begin(self, now: float) -> bool:
        """Tell whether a request may begin now."""
        if self._turn != self._busy.turns:
            return True
        return self._busy.turn_seconds(now) < TURN_SECONDS

    def note_begin(self) -> None:
        """Note that a request begins."""
        self._turn = self._busy.turns
