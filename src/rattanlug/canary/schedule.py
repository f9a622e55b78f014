"""Share of a service's requests that the new version receives during a rollout."""

# Share of the canary phase. A bad version may receive a tenth of all requests, and the
# later steps use part of that.
CANARY_SHARE = 0.05
# Steps after the canary phase: fraction of the duration, and share from then on.
STEPS = ((0.60, 0.25), (0.69, 0.5), (0.76, 1.0))
# With fewer slots relative to the old version's, the later steps would overload the new
# version. The old version is stopped when the rollout is complete.
MIN_SLOT_RATIO = 0.5
# Time after the last step, in addition to the longest timeout, in which requests may
# still run at the old version, since VMs receive the step late: about the longest
# timeout once more.
SETTLE_SECONDS = 1.2


def share(elapsed: float, duration: float, longest_timeout: float) -> float:
    """Return the share of requests that the new version receives.

    Parameters
    ----------
    elapsed : float
        Time since the rollout began, seconds.
    duration : float
        Time within which the rollout is to be complete, seconds.
    longest_timeout : float
        Longest time that a request may run, seconds.
    """
    current_share = CANARY_SHARE
    scale = _scale(duration, longest_timeout)
    for fraction, step_share in STEPS:
        if elapsed >= fraction * scale * duration:
            current_share = step_share
    return current_share


def may_complete(elapsed: float, duration: float, longest_timeout: float) -> bool:
    """Tell whether no request can run at the old version any more."""
    last_step = STEPS[-1][0] * _scale(duration, longest_timeout) * duration
    return elapsed >= last_step + longest_timeout + SETTLE_SECONDS


def _scale(duration: float, longest_timeout: float) -> float:
    """Return the factor that moves the steps forward if the duration is short."""
    latest = duration - longest_timeout - 2.0 * SETTLE_SECONDS
    planned = STEPS[-1][0] * duration
    return min(1.0, max(0.3, latest / planned)) if planned > 0.0 else 1.0


def has_room(new_slots: int, old_slots: int) -> bool:
    """Tell whether the new version has enough slots for the steps after the canary.

    Parameters
    ----------
    new_slots, old_slots : int
        Slots of the upstreams of each version that accept requests.
    """
    return new_slots >= MIN_SLOT_RATIO * old_slots and new_slots > 0
