"""Load shedding of a VM whose event loop lags.

In a burst beyond the VM's processor capacity, each request would otherwise wait in the
process until its caller disconnects, and none would be served in time.
"""

# Lag of the event loop at which the least urgent requests are rejected, and additional
# lag at which the most urgent ones are. Their sum is below the usual target latency of
# a route.
MIN_LAG_SECONDS = 0.12
URGENCY_LAG_SECONDS = 0.2


def should_shed(lag: float, priority: int, least_urgent: int) -> bool:
    """Tell whether a request is to be rejected.

    Parameters
    ----------
    lag : float
        Lag of the event loop, seconds.
    priority : int
        Priority of the request; 0 is the most urgent.
    least_urgent : int
        Highest priority number in use.
    """
    urgency = 1.0 - min(priority, least_urgent) / max(1, least_urgent)
    return lag > MIN_LAG_SECONDS + urgency * URGENCY_LAG_SECONDS
