"""Checks of rates, caps and time limits."""

import math

from trial.checks import evidence, registry, windows


def _execution_intervals(observed: evidence.Evidence, version: str | None = None):
    """Return organisation and interval from sending to execution of each request."""
    ran = observed.executions(version)
    return [
        (name.partition("/")[0], (attempt.sent, ran[attempt.request_id]))
        for name, attempt in observed.attempts()
        if attempt.request_id in ran
    ]


@registry.check("admitted beyond burst and rate")
def find_rate_excess(observed: evidence.Evidence) -> list[str]:
    """Return one entry for each request above an organisation's rate and burst."""
    intervals = _execution_intervals(observed)
    texts = []
    for each in observed.plan.organisations:
        own = [interval for name, interval in intervals if name == each.name]
        excess = windows.largest_excess(own, each.rate, each.burst)
        texts += [f"{each.name}: {excess:.2f}"] * max(0, math.ceil(excess - 1e-6))
    return texts


@registry.check("move above its cap")
def find_moves_above_cap(observed: evidence.Evidence) -> list[str]:
    """Return one entry for each request by which a rollout exceeds its cap.

    Each rollout is judged by its busiest window of one second.
    """
    texts = []
    for move in observed.facts.moves:
        ended = move.ended if move.ended is not None else math.inf
        intervals = [
            interval
            for _, interval in _execution_intervals(observed, "v2")
            if interval[1] < ended
        ]
        max_requests = windows.most_in_window(intervals, 1.0)
        texts += [f"{move.name}: {max_requests} in 1 s"] * max(
            0, math.ceil(max_requests - move.cap)
        )
    return texts


@registry.check("configuration not in force after 5 s")
def find_slow_activations(observed: evidence.Evidence) -> list[str]:
    """Return accepted versions not in force on every live VM after 5 s."""
    return [
        f"version {version}: {seconds:.2f} s"
        for version, seconds in observed.facts.in_force_s
        if seconds > 5
    ]


@registry.check("configuration reverted")
def find_reverted_versions(observed: evidence.Evidence) -> list[str]:
    """Return the cases in which a VM reported a lower version than before."""
    return observed.facts.reverted
