"""The registry of checks."""

from collections.abc import Callable
from typing import NamedTuple

from trial.checks import evidence


class Violation(NamedTuple):
    """Number of violations of an invariant, with examples."""

    count: int
    examples: list[str]


Check = Callable[[evidence.Evidence], list[str]]
CHECKS: dict[str, Check] = {}
_MAX_EXAMPLES = 3


def check(name: str) -> Callable[[Check], Check]:
    """Register a check, which returns one text for each violation."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def run_checks(observed: evidence.Evidence) -> dict[str, Violation]:
    """Run all checks; add the violations that the daemons counted."""
    result = {}
    for name, function in CHECKS.items():
        texts = function(observed)
        result[name] = Violation(len(texts), texts[:_MAX_EXAMPLES])
    for name, counts in sorted(observed.facts.violations.items()):
        examples = [f"{vm}: {count}" for vm, count in sorted(counts.items()) if count]
        result[f"daemon: {name}"] = Violation(sum(counts.values()), examples)
    return result
