"""Windows for the computation of burn rates."""

from typing import NamedTuple


class BurnWindow(NamedTuple):
    """A pair of windows; an alert fires if the burn rate is too high in both.

    The long window shows that the loss is significant, the short one that it continues.

    Attributes
    ----------
    short_s, long_s : int
        Seconds.
    threshold : float
        Burn rate at which the pair fires; at 1, the error budget lasts exactly for the
        period of the objective.
    severity : str
        ``page`` for immediate action, ``ticket`` for the next working day.
    """

    short_s: int
    long_s: int
    threshold: float
    severity: str


BURN_WINDOWS = (
    BurnWindow(300, 3600, 14.4, "page"),
    BurnWindow(1800, 21600, 6.0, "page"),
    BurnWindow(7200, 86400, 3.0, "ticket"),
    BurnWindow(21600, 259200, 1.0, "ticket"),
)

WINDOW_LENGTHS_S = tuple(
    sorted({each.short_s for each in BURN_WINDOWS} | {w.long_s for w in BURN_WINDOWS})
)


def describe(seconds: float) -> str:
    """Return a duration in the largest suitable unit, such as ``6 h``."""
    for unit, length in (("d", 86400), ("h", 3600), ("min", 60)):
        if seconds >= length and (unit != "d" or seconds >= 2 * length):
            return f"{seconds / length:.3g} {unit}"
    return f"{seconds:.3g} s"
