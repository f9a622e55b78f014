"""Rejections of requests, with a randomised retry delay."""

import random

from rattanlug.errors import error, kind

# Minimum retry delay after a rejection, and the jitter that keeps callers which were
# rejected together from retrying together.
MIN_RETRY_AFTER_SECONDS = 0.3
RETRY_AFTER_JITTER_SECONDS = 0.4
# A VM that has just started has usually loaded its state by then.
STARTING_RETRY_AFTER_SECONDS = 0.5


def retry_after_seconds(rng: random.Random) -> float:
    """Return a retry delay with jitter, seconds."""
    return MIN_RETRY_AFTER_SECONDS + RETRY_AFTER_JITTER_SECONDS * rng.random()


def rejection(
    error_kind: kind.ErrorKind, detail: str, retry_after: float | None = None
) -> error.RefusedError:
    """Return the error for a request that was not and will not be executed."""
    return error.RefusedError(error_kind, detail, retry_after=retry_after)
