"""Measures how much of a processor the parts of a run get."""

import os
from typing import NamedTuple

from soak import processor_reading, stalls

# From these on, a part was short of a processor.
_MAX_SHARE = 0.92
_MAX_WAITING_SHARE = 0.1
_MAX_STALL_SECONDS = 1.0
_MAX_STALLED_SHARE = 0.03


class PartUse(NamedTuple):
    """What one part of a run got.

    Attributes
    ----------
    share, waiting : float
        Share of the time in which it ran, and waited for a processor.
    stalls : int
        Wake-ups that came late by more than `stalls.STALL_SECONDS`.
    longest_stall, stalled : float
        Seconds of the longest late wake-up, and of all.
    """

    share: float
    waiting: float
    stalls: int
    longest_stall: float
    stalled: float

    def is_short(self, seconds: float) -> bool:
        """Tell whether what it observed in some seconds can't be judged by time."""
        return (
            self.share > _MAX_SHARE
            or self.waiting > _MAX_WAITING_SHARE
            or self.longest_stall > _MAX_STALL_SECONDS
            or self.stalled > _MAX_STALLED_SHARE * seconds
        )


def part_use(
    first: processor_reading.Reading,
    last: processor_reading.Reading,
    stalled: list[tuple[float, float]],
) -> PartUse:
    """Return what a part got between two readings.

    Parameters
    ----------
    first, last : processor_reading.Reading
    stalled : list of tuple
        Begin and end of each late wake-up, seconds.
    """
    seconds = max(last.at - first.at, 1e-9)
    lengths = [
        end - begin for begin, end in stalled if begin < last.at and end > first.at
    ]
    return PartUse(
        round((last.running - first.running) / seconds, 3),
        round((last.waiting - first.waiting) / seconds, 3),
        sum(each > stalls.STALL_SECONDS for each in lengths),
        round(max(lengths, default=0.0), 3),
        round(sum(lengths), 3),
    )


def machine_load() -> list[float]:
    """Return the load averages of the machine."""
    return [round(each, 1) for each in os.getloadavg()]
