"""Processor time and memory of a daemon process."""

import os
import pathlib
from typing import NamedTuple

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class ProcessUsage(NamedTuple):
    """Processor time and memory of a process.

    Attributes
    ----------
    cpu_s : float
        Processor time since its start, seconds.
    resident_mb : float
    """

    cpu_s: float
    resident_mb: float


def read_usage(pid: int) -> ProcessUsage:
    """Return the usage of a process since its start."""
    directory = pathlib.Path("/proc", str(pid))
    # The command name, in parentheses, may contain spaces.
    fields = (directory / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((directory / "statm").read_text().split()[1])
    resident_mb = pages * os.sysconf("SC_PAGE_SIZE") / 1e6
    return ProcessUsage(ticks / _TICKS_PER_SECOND, resident_mb)
