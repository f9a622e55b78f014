"""Watches the run's own processes."""

import bisect
import operator

import trio

from soak import history

_TICK_SECONDS = 0.02
# A wake-up that comes later than this is recorded: what the process observed then is
# late as well.
_LATE_SECONDS = 0.03
# A wake-up that is so late is counted in the result.
STALL_SECONDS = 0.13


async def watch(observations: history.History) -> None:
    """Record when this process got no processor, until cancelled."""
    while True:
        due = trio.current_time() + _TICK_SECONDS
        await trio.sleep_until(due)
        now = trio.current_time()
        if now - due > _LATE_SECONDS:
            observations.stalls[history.RUN].append((due, now))


async def settle() -> None:
    """Wait until a stall that has just ended is recorded."""
    await trio.sleep(2.0 * _TICK_SECONDS)


def seconds_within(
    stalls: list[tuple[float, float]], begin: float, end: float
) -> float:
    """Return for how long a process stalled in an interval.

    Parameters
    ----------
    stalls : list of tuple
        Intervals that don't overlap, in order.
    begin, end : float
    """
    total = 0.0
    first = bisect.bisect(stalls, begin, key=operator.itemgetter(1))
    for index in range(first, len(stalls)):
        since, until = stalls[index]
        if since >= end:
            break
        total += min(end, until) - max(begin, since)
    return total


def joined(*lists: list[tuple[float, float]]) -> list[tuple[float, float]]:
    """Return the intervals in which any of several processes stalled."""
    result: list[tuple[float, float]] = []
    for since, until in sorted(each for stalls in lists for each in stalls):
        if result and since <= result[-1][1]:
            result[-1] = (result[-1][0], max(until, result[-1][1]))
        else:
            result.append((since, until))
    return result


def attribute(observations: history.History) -> None:
    """Add to each request how long the callers of this process stalled."""
    stalls = observations.stalls[history.RUN]
    observations.exchanges = [
        each._replace(stalled=seconds_within(stalls, each.sent_at, each.ended_at))
        for each in observations.exchanges
    ]
