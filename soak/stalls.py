"""Watches the run's own processes."""

import trio

from soak import history

_TICK_SECONDS = 0.02
# A later wake-up is recorded: what the run measured then is late as well.
_LATE_SECONDS = 0.05
# A wake-up that is so late is counted in the result.
STALL_SECONDS = 0.15


async def watch(observations: history.History) -> None:
    """Record when the run itself got no processor, until cancelled."""
    before = trio.current_time()
    while True:
        await trio.sleep(_TICK_SECONDS)
        now = trio.current_time()
        if now - before > _LATE_SECONDS:
            observations.stalls.append((before, now))
        before = now


def seconds_within(
    stalls: list[tuple[float, float]], begin: float, end: float
) -> float:
    """Return for how long a process stalled in an interval."""
    parts = (min(end, until) - max(begin, since) for since, until in stalls)
    return sum(each for each in parts if each > 0.0)


def attribute(observations: history.History) -> None:
    """Add to each closed request how long the callers of this process stalled."""
    observations.exchanges = [
        each._replace(
            stalled=seconds_within(observations.stalls, each.sent_at, each.ended_at)
        )
        if each.closed_by_vm
        else each
        for each in observations.exchanges
    ]
