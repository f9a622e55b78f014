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
    started_at: float, leaving: bool, grace_seconds: float, now: float
) -> ProcessPhase:
    """Return the phase of a daemon.

    A stop is a matter of the VM: its grace period counts from the signal, also after
    its process has ended early and the next one has started. That one doesn't know when
    the signal came, only that it was before its own start.

    Parameters
    ----------
    started_at : float
        Monotonic seconds.
    leaving : bool
        Whether a graceful shutdown has begun.
    grace_seconds : float
        Time within which a process has to end after the signal.
    now : float
        Monotonic seconds.
    """
    if leaving:
        return ProcessPhase.STOPPING
    if now - started_at < grace_seconds + STOP_MARGIN_SECONDS:
        return ProcessPhase.STARTING
    return ProcessPhase.SERVING
