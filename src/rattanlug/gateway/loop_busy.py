"""Measures how long the event loop works between two looks at its sockets."""

from collections.abc import Callable

import trio

from rattanlug.daemon import clock

# The share follows a change by half in this time; callers keep look-ups for seconds,
# so a faster measure would send them back and forth.
HALF_LIFE_SECONDS = 0.7
# A loop that works for this part of the time has little left for a burst.
BUSY_SHARE = 0.65
# A VM that was busy counts as such until its share is below this one; about half of
# its callers went elsewhere meanwhile, and would all come back at the first share.
RELIEVED_SHARE = 0.3
# A look at the sockets that takes longer found nothing ready at first; one that finds
# something takes some tens of microseconds.
LOOK_SECONDS = 0.0005
# Shorter turns are not worth the time that recording them takes.
RECORDED_SECONDS = 0.005


class LoopBusy(trio.abc.Instrument):
    """Share of the time in which the event loop did not wait, and its turns.

    Unlike the delay of timers, the share shows a rising load before requests wait. A
    turn is the time from one look at the sockets to the next.

    Parameters
    ----------
    record_turn : callable, optional
        Takes the length of each long turn of the loop, seconds.
    """

    def __init__(
        self, record_turn: Callable[[float], None] = lambda seconds: None
    ) -> None:
        self._record_turn = record_turn
        self._share = 0.0
        self._is_busy = False
        self._waits_since = 0.0
        # Since when the present turn of the loop runs, 0 before the first.
        self._works_since = 0.0
        self._earliest_ready_at = clock.now()
        self._turns = 0

    @property
    def share(self) -> float:
        """Part of the recent time, 0 to 1."""
        return self._share

    @property
    def is_busy(self) -> bool:
        """Whether the loop has little time left."""
        return self._is_busy

    @property
    def earliest_ready_at(self) -> float:
        """Earliest time at which what is ready now can have become ready, seconds.

        What is found by a look at the sockets was not there at the look before.
        """
        return self._earliest_ready_at

    @property
    def turns(self) -> int:
        """Number of turns so far."""
        return self._turns

    def turn_seconds(self, now: float) -> float:
        """Return for how long the present turn of the loop has run, seconds.

        All requests that arrived meanwhile have waited so long. A timer tells of it
        only when the turn is over, when each of them was taken already.
        """
        return max(0.0, now - self._works_since) if self._works_since else 0.0

    def note(self, worked: float, waited: float) -> None:
        """Take how long the loop worked and then waited, seconds."""
        total = worked + waited
        if total <= 0.0:
            return
        kept = 0.5 ** (total / HALF_LIFE_SECONDS)
        self._share = kept * self._share + (1.0 - kept) * worked / total
        limit = RELIEVED_SHARE if self._is_busy else BUSY_SHARE
        self._is_busy = self._share > limit

    def before_io_wait(self, timeout: float) -> None:
        """Note that the loop begins to wait."""
        self._waits_since = clock.now()

    def after_io_wait(self, timeout: float) -> None:
        """Note that the loop goes on."""
        now = clock.now()
        waited = now - self._waits_since
        if timeout > 0.0 and waited > LOOK_SECONDS:
            # Something became ready just now, or a timer was due; a wait beyond the
            # timer means that the process was not scheduled.
            self._earliest_ready_at = now - max(0.0, waited - timeout)
        elif self._works_since:
            self._earliest_ready_at = self._works_since
        if self._works_since:
            worked = self._waits_since - self._works_since
            self.note(worked, waited)
            if worked > RECORDED_SECONDS:
                self._record_turn(worked)
        self._works_since = now
        self._turns += 1
