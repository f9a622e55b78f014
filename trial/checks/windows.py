"""Counts events of which only an earliest and a latest time are known."""

from collections.abc import Iterable

Span = tuple[float, float]


def largest_excess(spans: Iterable[Span], rate: float, burst: float) -> float:
    """Return by how much the events of any window exceed ``burst + rate * window``.

    An event counts for a window only when its whole span lies in it, so a positive
    result is never due to the way from the caller to the upstream.

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
    by_end = sorted(spans, key=lambda span: span[1])
    worst = -burst
    for begin, _ in by_end:
        count = 0
        for earliest, latest in by_end:
            if earliest >= begin:
                count += 1
                worst = max(worst, count - rate * (latest - begin) - burst)
    return worst


def most_in_window(spans: Iterable[Span], window: float) -> int:
    """Return the most events whose whole spans lie in one window of some seconds."""
    known = list(spans)
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
