"""Decides whether a VM may take a seat."""

from collections.abc import Iterable

from rattanlug.seats import observed_row

# The lease of 10 s and room for clocks that drift. The same silence towards every VM
# of the data centre exceeds the 2 s of local contact that keep a lease valid longer.
TAKEOVER_S = 11.0


def may_take_over(
    observed: observed_row.ObservedRow, silent_for: Iterable[float]
) -> bool:
    """Return whether the holder of a seat can no longer consider its lease valid.

    Parameters
    ----------
    observed : observed_row.ObservedRow
        The row, read by this VM at least twice.
    silent_for : iterable of float
        For this VM and each other VM of the data centre that is alive: seconds
        for which it has been up without hearing from the holder, 0 when it has not
        reported within the last 2 s.

    Returns
    -------
    bool
    """
    if observed.row is None or not observed.row.vm:
        return True
    if observed.unchanged_for < TAKEOVER_S:
        return False
    return all(seconds >= TAKEOVER_S for seconds in silent_for)
