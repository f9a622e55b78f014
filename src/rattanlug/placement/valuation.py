"""What an answer of one upstream is worth to the caller."""

import math

# An answer after the target latency, relative to one in time.
LATE_WORTH = 0.2
# Spread of service times, relative to the time left until an answer is late.
SPREAD = 0.13
# What a kilobyte costs that leaves the data centre, or the region, relative to the
# worth of an answer in time.
DATA_CENTRE_COST = 0.07
REGION_COST = 0.08
# What a second of a slot costs, relative to the worth of an answer in time: it is
# missing for other requests. The cost rises with the load, since on a full upstream
# each cold object takes the place of several warm ones.
SLOT_SECOND_COST = 0.25
BUSY_SLOT_SECOND_COST = 2.0
# Load, relative to the slots, from which on the cost rises.
BUSY_RATIO = 0.9


def answer_worth(seconds: float, time_to_target: float, time_left: float) -> float:
    """Return the expected worth of an answer, 1 for one that is surely in time.

    Parameters
    ----------
    seconds : float
        Expected time to the answer.
    time_to_target, time_left : float
        Time until the answer is late, and until it is useless, seconds.
    """
    served = _probability(seconds, time_left)
    if time_to_target <= 0.0:
        return LATE_WORTH * served
    in_time = _probability(seconds, time_to_target)
    return in_time + max(0.0, served - in_time) * LATE_WORTH


def crossing_cost(kilobytes: float, same_region: bool) -> float:
    """Return what bytes cost that leave the data centre, or the region."""
    return kilobytes * (DATA_CENTRE_COST if same_region else REGION_COST)


def slot_second_cost(busy: float, slots: int) -> float:
    """Return what a second of a slot costs on an upstream.

    Parameters
    ----------
    busy : float
        Requests that run or wait there.
    slots : int
    """
    over = max(0.0, busy / slots - BUSY_RATIO)
    return SLOT_SECOND_COST + BUSY_SLOT_SECOND_COST * over


def _probability(seconds: float, limit: float) -> float:
    if limit <= 0.0:
        return 0.0
    exponent = (seconds / limit - 1.0) / SPREAD
    if exponent > 30.0:
        return 0.0
    return 1.0 / (1.0 + math.exp(exponent))
