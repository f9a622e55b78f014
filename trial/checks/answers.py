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
    killed, outages = found.facts.killed, found.facts.outages
    return [
        f"{attempt.request_id} at {attempt.vm}: {attempt.fault}"
        for _, attempt in found.attempts()
        if attempt.kind == "cut"
        and attempt.ended < killed.get(attempt.vm, float("inf"))
        and not any(
            attempt.sent <= until and attempt.ended >= since
            for since, until in outages.get(attempt.vm, ())
        )
    ]
