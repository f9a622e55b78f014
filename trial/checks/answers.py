"""Checks of what callers received."""

from trial.checks import evidence, registry


@registry.check("answer is wrong or not whole")
def find_wrong_answers(found: evidence.Evidence) -> list[str]:
    """Return answers that are damaged or belong to another request."""
    return [
        f"{attempt.request_id} at {attempt.vm}: {attempt.fault}"
        for _, attempt in found.attempts()
        if attempt.status and attempt.fault
    ]


@registry.check("answer was cut")
def find_cut_answers(found: evidence.Evidence) -> list[str]:
    """Return connections that broke, except those of a VM that was killed."""
    killed = found.facts.killed
    return [
        f"{attempt.request_id} at {attempt.vm}: {attempt.fault}"
        for _, attempt in found.attempts()
        if attempt.kind == "cut"
        and attempt.ended < killed.get(attempt.vm, float("inf"))
    ]
