"""Time since the process was created."""

import os

_STAT = "/proc/self/stat"
# Position of the start time after the name of the program, which may contain blanks.
_START_TIME_FIELD = 19


def process_age(now: float) -> float | None:
    """Return the seconds since the process was created, or None if it isn't known.

    Parameters
    ----------
    now : float
        Seconds on ``clock.now``.
    """
    try:
        with open(_STAT, encoding="utf-8") as file:
            fields = file.read().rpartition(")")[2].split()
        started_at = int(fields[_START_TIME_FIELD]) / os.sysconf("SC_CLK_TCK")
    except (IndexError, OSError, ValueError):
        # Only a log line needs it.
        return None
    return round(now - started_at, 3)
