"""Which requests an overloaded VM refuses.

Answers a burst beyond the processor of a VM: without refusals, each request waits in
the process until its caller has left, and none is served in time.
"""

# Delay of the event loop at which the least urgent requests are refused, and the
# further delay at which the most urgent are, seconds. Together they stay below the
# usual target latency of a route.
FIRST_LAG_SECONDS = 0.12
FURTHER_LAG_SECONDS = 0.2


def should_shed(lag: float, priority: int, least_urgent: int) -> bool:
    """Tell whether a request is refused.

    Parameters
    ----------
    lag : float
        Delay of the event loop, seconds.
    priority : int
        Rank of the request, 0 is the most urgent.
    least_urgent : int
        Highest rank in use.
    """
    urgency = 1.0 - min(priority, least_urgent) / max(1, least_urgent)
    return lag > FIRST_LAG_SECONDS + urgency * FURTHER_LAG_SECONDS
