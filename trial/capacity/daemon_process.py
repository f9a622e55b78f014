"""What one daemon process has used."""

import os
import pathlib
from typing import NamedTuple

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class ProcessUse(NamedTuple):
    """Processor time and memory of a process.

    Attributes
    ----------
    cpu : float
        Seconds since its start.
    resident : float
        Megabytes.
    """

    cpu: float
    resident: float


def read_use(pid: int) -> ProcessUse:
    """Return what a process has used so far."""
    directory = pathlib.Path("/proc", str(pid))
    # The name, in parentheses, may hold spaces.
    fields = (directory / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((directory / "statm").read_text().split()[1])
    resident = pages * os.sysconf("SC_PAGE_SIZE") / 1e6
    return ProcessUse(ticks / _TICKS_PER_SECOND, resident)
