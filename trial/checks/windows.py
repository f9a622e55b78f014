"""Counts events in time windows; of each event only a time interval is known."""

from collections.abc import Iterable

Interval = tuple[float, float]


def largest_excess(intervals: Iterable[Interval], rate: float, burst: float) -> float:
    """Return by how much the events of any window exceed ``burst + rate * window``.

    An event counts for a window only if its whole interval lies in it, so a positive
    result is never caused by the latency between caller and upstream.

    Parameters
    ----------
    spans : iterable of (float, float)
        Earliest and latest time of each event, seconds.
    rate : float
        Events/s.
    burst : float

    Returns
    -------
    float
        Negative when there is no excess. Quadratic in the number of events.
    """
    by_end = sorted(intervals, key=lambda interval: interval[1])
    worst = -burst
    for begin, _ in by_end:
        count = 0
        for earliest, latest in by_end:
            if earliest >= begin:
                count += 1
                worst = max(worst, count - rate * (latest - begin) - burst)
    return worst


def most_in_window(intervals: Iterable[Interval], window: float) -> int:
    """Return the maximum number of events whose intervals lie in one window.

    The window has a length of ``window`` seconds.
    """
    known = list(intervals)
    return max(
        (
            sum(
                begin <= earliest and latest <= begin + window
                for earliest, latest in known
            )
            for begin, _ in known
        ),
        default=0,
    )
