"""Reads how long processes have run and waited for a processor."""

import pathlib
from collections.abc import Mapping
from typing import NamedTuple

_NANOSECONDS = 1e9


class Reading(NamedTuple):
    """How long the main thread of a process has run and waited for a processor.

    Attributes
    ----------
    at, running, waiting : float
        Seconds.
    """

    at: float
    running: float
    waiting: float


def read(pid: int, now: float) -> Reading:
    """Read the times of a process.

    Raises
    ------
    OSError
        The process has ended.
    """
    text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    running, waiting = text.split()[:2]
    return Reading(now, int(running) / _NANOSECONDS, int(waiting) / _NANOSECONDS)


def read_parts(pids: Mapping[str, int], now: float) -> dict[str, Reading]:
    """Read the times of several processes, by name."""
    return {name: read(pid, now) for name, pid in pids.items()}
