"""Refusals of requests, with the time after which a repeat is useful."""

import random

from rattanlug.errors import error, kind

# Earliest return after a refusal, and the random part that keeps those apart who were
# refused together, seconds.
RETRY_SECONDS = 0.3
RETRY_SPREAD_SECONDS = 0.4
# Pause until a VM that just started knows what it needs, seconds.
START_RETRY_SECONDS = 0.5


def retry_seconds(rng: random.Random) -> float:
    """Return a pause that differs between those who are refused together, seconds."""
    return RETRY_SECONDS + RETRY_SPREAD_SECONDS * rng.random()


def refusal(
    error_kind: kind.ErrorKind, detail: str, retry_after: float | None = None
) -> error.RefusedError:
    """Return the error for a request that did not run and will not."""
    return error.RefusedError(error_kind, detail, retry_after=retry_after)
