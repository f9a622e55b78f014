"""Phases of a daemon between its start and its end."""

import enum

# The stop of a VM counts as under way for this time after the grace period.
STOP_MARGIN_SECONDS = 1.0


class ProcessPhase(enum.Enum):
    """Phase of a daemon, as metrics and logs name it."""

    # The stop of the VM's previous process may still be under way.
    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


def process_phase(
    serves_since: float,
    leaving: bool,
    grace_seconds: float,
    contact_seconds: float,
    now: float,
) -> ProcessPhase:
    """Return the phase of a daemon.

    A stop is a matter of the VM: its grace period counts from the signal, also after
    its process has ended early and the next one serves. That one doesn't know when the
    signal came, only that it was before it began to serve: it may have been started
    before, and waited for the ports. Once the VM counts as connected again, callers are
    owed a response at the timeout of their route.

    Parameters
    ----------
    serves_since : float
        When it began to serve, monotonic seconds; infinite before.
    leaving : bool
        Whether a graceful shutdown has begun.
    grace_seconds : float
        Time within which a process has to end after the signal.
    contact_seconds : float
        Time after that from which on the VM counts as connected.
    now : float
        Monotonic seconds.
    """
    if leaving:
        return ProcessPhase.STOPPING
    starting_seconds = min(grace_seconds + STOP_MARGIN_SECONDS, contact_seconds)
    if now - serves_since < starting_seconds:
        return ProcessPhase.STARTING
    return ProcessPhase.SERVING
