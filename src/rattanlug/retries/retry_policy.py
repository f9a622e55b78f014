"""Whether a request may be sent to another upstream."""

from rattanlug.errors import executed

# With less time than this an upstream elsewhere can't answer, seconds.
LEAST_TIME_LEFT = 0.05


def may_retry(
    idempotent: bool,
    did_run: executed.Executed,
    sends: int,
    max_sends: int,
    time_left: float,
) -> bool:
    """Decide after a failed send.

    Parameters
    ----------
    idempotent : bool
    did_run : executed.Executed
        What is known of the failed send.
    sends : int
        Upstreams to which the request was sent.
    max_sends : int
    time_left : float
        Seconds.
    """
    if sends >= max_sends or time_left < LEAST_TIME_LEFT:
        return False
    return idempotent or did_run is executed.Executed.NO
