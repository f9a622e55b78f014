"""Value of a response to the caller, and cost of obtaining it from an upstream.

All values and costs are relative to the value of a response within the target latency.
"""

import math

# Value of a response after the target latency.
LATE_VALUE = 0.2
# Scale of the logistic distribution of the response time, relative to the remaining
# time.
LATENCY_SPREAD = 0.13
# Cost of a kilobyte that leaves the data centre, and of one that leaves the region.
CROSS_DATA_CENTRE_COST_PER_KB = 0.07
CROSS_REGION_COST_PER_KB = 0.08
# Cost of occupying a slot for a second, which other requests can't use. It rises with
# the load, since on a full upstream a request for an uncached object takes the place of
# several for cached ones.
SLOT_SECOND_COST = 0.25
BUSY_SLOT_SECOND_COST = 2.0
# Ratio of requests to slots above which the cost rises.
BUSY_LOAD_RATIO = 0.9


def response_value(seconds: float, time_to_target: float, time_left: float) -> float:
    """Return the expected value of a response; 1 if it surely meets the target.

    Parameters
    ----------
    seconds : float
        Expected time until the response.
    time_to_target, time_left : float
        Remaining time to the target latency and to the deadline, seconds.
    """
    served = _probability_within(seconds, time_left)
    if time_to_target <= 0.0:
        return LATE_VALUE * served
    in_time = _probability_within(seconds, time_to_target)
    return in_time + max(0.0, served - in_time) * LATE_VALUE


def transfer_cost(kilobytes: float, same_region: bool) -> float:
    """Return the cost of kilobytes that leave the data centre.

    ``same_region`` tells whether they stay in the region.
    """
    return kilobytes * (
        CROSS_DATA_CENTRE_COST_PER_KB if same_region else CROSS_REGION_COST_PER_KB
    )


def slot_second_cost(busy: float, slots: int) -> float:
    """Return the cost of occupying a slot of an upstream for a second.

    Parameters
    ----------
    busy : float
        Requests that run or wait at the upstream.
    slots : int
    """
    excess = max(0.0, busy / slots - BUSY_LOAD_RATIO)
    return SLOT_SECOND_COST + BUSY_SLOT_SECOND_COST * excess


def _probability_within(seconds: float, limit: float) -> float:
    """Return the probability that a response arrives within a limit, seconds."""
    if limit <= 0.0:
        return 0.0
    exponent = (seconds / limit - 1.0) / LATENCY_SPREAD
    if exponent > 30.0:
        return 0.0
    return 1.0 / (1.0 + math.exp(exponent))
