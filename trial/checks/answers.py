"""Checks of the responses that callers received."""

from trial.checks import evidence, registry


@registry.check("answer is wrong or not whole")
def find_wrong_answers(observed: evidence.Evidence) -> list[str]:
    """Return responses that are damaged or belong to another request."""
    return [
        f"{attempt.request_id} at {attempt.vm}: {attempt.fault}"
        for _, attempt in observed.attempts()
        if attempt.status and attempt.fault
    ]


@registry.check("answer was cut")
def find_broken_connections(observed: evidence.Evidence) -> list[str]:
    """Return broken connections, except those to a VM while it was down."""
    killed, outages = observed.facts.killed, observed.facts.outages
    return [
        f"{attempt.request_id} at {attempt.vm}: {attempt.fault}"
        for _, attempt in observed.attempts()
        if attempt.kind == "cut"
        and attempt.ended < killed.get(attempt.vm, float("inf"))
        and not any(
            attempt.sent <= until and attempt.ended >= since
            for since, until in outages.get(attempt.vm, ())
        )
    ]
