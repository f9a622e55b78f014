"""Decides whether a request may be retried at another upstream."""

from rattanlug.errors import executed

# With less remaining time, an upstream elsewhere can't respond before the deadline.
MIN_TIME_LEFT_SECONDS = 0.05


def may_retry(
    idempotent: bool,
    was_executed: executed.Executed,
    attempts: int,
    max_attempts: int,
    time_left: float,
) -> bool:
    """Tell whether a request may be retried after a failed attempt.

    Parameters
    ----------
    idempotent : bool
    was_executed : executed.Executed
        Whether the upstream of the failed attempt executed the request.
    attempts : int
        Number of attempts so far.
    max_attempts : int
    time_left : float
        Remaining time to the deadline, seconds.
    """
    if attempts >= max_attempts or time_left < MIN_TIME_LEFT_SECONDS:
        return False
    return idempotent or was_executed is executed.Executed.NO
