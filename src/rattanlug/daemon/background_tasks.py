"""Keeps the background tasks of a daemon running when they raise errors.

An error that nobody expected in one of them must not end the process, and with it the
requests that it is serving.
"""

import logging
from collections.abc import Awaitable, Callable

import trio

from rattanlug.metrics import counters

# Delay before a failed task starts again; doubles up to the maximum, and starts anew
# after a run that was longer than that.
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0
_LOG = logging.getLogger(__name__)


async def keep_running(
    name: str,
    run: Callable[[], Awaitable[None]],
    all_counters: counters.Counters,
) -> None:
    """Run a task; start it again whenever it raises an error.

    Parameters
    ----------
    name : str
        Of the task, in the log and in the counter ``task_failures``.
    run : callable
        Coroutine function of the task.
    all_counters : counters.Counters
    """
    backoff = MIN_BACKOFF_SECONDS
    while True:
        started_at = trio.current_time()
        try:
            await run()
            return
        except BaseExceptionGroup as exc:
            # Parts of a task may fail while the others are cancelled.
            errors, cancellations = exc.split(Exception)
            if errors is not None:
                record_failure(name, all_counters)
            if cancellations is not None:
                raise cancellations from None
        except Exception:
            record_failure(name, all_counters)
        if trio.current_time() - started_at > MAX_BACKOFF_SECONDS:
            backoff = MIN_BACKOFF_SECONDS
        await trio.sleep(backoff)
        backoff = min(2.0 * backoff, MAX_BACKOFF_SECONDS)


def record_failure(name: str, all_counters: counters.Counters) -> None:
    """Count and log the error that is being handled, of a background task."""
    all_counters.add("task_failures", task=name)
    _LOG.exception("unexpected error in a background task", extra={"task": name})
