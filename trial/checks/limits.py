"""Checks of limits over time."""

import math

from trial.checks import evidence, registry, windows


def _spans(found: evidence.Evidence, version: str | None = None):
    """Return organisation and span from sending to execution of each request."""
    ran = found.executions(version)
    return [
        (name.partition("/")[0], (attempt.sent, ran[attempt.request_id]))
        for name, attempt in found.attempts()
        if attempt.request_id in ran
    ]


@registry.check("admitted beyond burst and rate")
def find_excess(found: evidence.Evidence) -> list[str]:
    """Return one entry for each request above an organisation's limit."""
    spans = _spans(found)
    texts = []
    for each in found.plan.organisations:
        own = [span for name, span in spans if name == each.name]
        excess = windows.largest_excess(own, each.rate, each.burst)
        texts += [f"{each.name}: {excess:.2f}"] * max(0, math.ceil(excess - 1e-6))
    return texts


@registry.check("move above its cap")
def find_moves_above_cap(found: evidence.Evidence) -> list[str]:
    """Return one entry for each request of a move above its cap in one second."""
    texts = []
    for move in found.facts.moves:
        ended = move.ended if move.ended is not None else math.inf
        spans = [span for _, span in _spans(found, "v2") if span[1] < ended]
        most = windows.most_in_window(spans, 1.0)
        texts += [f"{move.name}: {most} in 1 s"] * max(0, math.ceil(most - move.cap))
    return texts


@registry.check("configuration not in force after 5 s")
def find_late_versions(found: evidence.Evidence) -> list[str]:
    """Return accepted versions that took longer than 5 s to be in force."""
    return [
        f"version {version}: {seconds:.2f} s"
        for version, seconds in found.facts.in_force_s
        if seconds > 5
    ]


@registry.check("configuration reverted")
def find_reverted_versions(found: evidence.Evidence) -> list[str]:
    """Return VMs that reported a lower version after a higher one."""
    return found.facts.reverted
