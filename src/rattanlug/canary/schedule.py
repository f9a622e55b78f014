"""Share of a service's requests that a new version gets over time."""

# Share while the new version is on trial. A bad version may get a tenth of all
# requests, and the steps after the trial use part of that.
TRIAL_SHARE = 0.05
# Steps after the trial: part of the duration that has passed, and share from then on.
STEPS = ((0.60, 0.25), (0.69, 0.5), (0.76, 1.0))
# Slots of the new version, relative to the old one's, without which the steps after the
# trial would overload it; the old version is stopped when a move is complete.
LEAST_ROOM = 0.5
# Time after the last step for requests that still run at the old version: their
# longest time and as much again for VMs that learn of the step late, seconds.
SETTLE_SECONDS = 1.2


def share(elapsed: float, duration: float, longest_timeout: float) -> float:
    """Return the share of requests that goes to the new version.

    Parameters
    ----------
    elapsed : float
        Time since the move began, seconds.
    duration : float
        Time within which it is to be complete, seconds.
    longest_timeout : float
        Longest time that a request may run, seconds.
    """
    found = TRIAL_SHARE
    scale = _scale(duration, longest_timeout)
    for part, step_share in STEPS:
        if elapsed >= part * scale * duration:
            found = step_share
    return found


def may_complete(elapsed: float, duration: float, longest_timeout: float) -> bool:
    """Tell whether no request can still run at the old version."""
    last = STEPS[-1][0] * _scale(duration, longest_timeout) * duration
    return elapsed >= last + longest_timeout + SETTLE_SECONDS


def _scale(duration: float, longest_timeout: float) -> float:
    """Return by how much the steps are moved forward when time is short."""
    latest = duration - longest_timeout - 2.0 * SETTLE_SECONDS
    wanted = STEPS[-1][0] * duration
    return min(1.0, max(0.3, latest / wanted)) if wanted > 0.0 else 1.0


def has_room(new_slots: int, old_slots: int) -> bool:
    """Tell whether the new version can take over.

    Parameters
    ----------
    new_slots, old_slots : int
        Slots of the upstreams of both versions that take requests.
    """
    return new_slots >= LEAST_ROOM * old_slots and new_slots > 0
