"""Condition for taking over a seat from another VM."""

from collections.abc import Iterable

from rattanlug.seats import observed_row

# The lease of 10 s plus a margin for clock drift. A lease stays valid longer while its
# holder gets gossip responses at most 2 s old from its data centre; if the holder has
# been silent for this long towards every VM there, that can't be the case.
TAKEOVER_S = 11.0


def may_take_over(
    observed: observed_row.ObservedRow, silent_for: Iterable[float]
) -> bool:
    """Return whether the holder of a seat can't consider its lease valid any more.

    Parameters
    ----------
    observed : observed_row.ObservedRow
        The seat's row, which this VM has read at least twice.
    silent_for : iterable of float
        For this VM and each other live VM of the data centre: seconds for which the
        VM has been up without contact with the holder, 0 if it has not reported within
        the last 2 s.

    Returns
    -------
    bool
    """
    if observed.row is None or not observed.row.vm:
        return True
    if observed.unchanged_for < TAKEOVER_S:
        return False
    return all(seconds >= TAKEOVER_S for seconds in silent_for)
