"""Reads violation and fault counters from metrics in the text exposition format."""

import re

_VIOLATION_COUNTS = re.compile(
    r'^rattanlug_violations_total\{invariant="([^"]+)"\} ([0-9.eE+]+)$', re.MULTILINE
)
_FAULTS = ("loop_failures", "internal_errors")
_FAULT_COUNTS = re.compile(
    rf"^rattanlug_({'|'.join(_FAULTS)})_total(?:\{{[^}}]*\}})? ([0-9.eE+]+)$",
    re.MULTILINE,
)


def read_violations(text: str) -> dict[str, int]:
    """Return the violation counts by invariant, and the counts of internal faults.

    A fault that the daemon survives would otherwise go unnoticed in a trial. A fault
    counter is exposed only from its first increment on.
    """
    counts = {
        name: int(float(count)) for name, count in _VIOLATION_COUNTS.findall(text)
    }
    if counts:
        for name, count in _FAULT_COUNTS.findall(text):
            counts[name] = counts.get(name, 0) + int(float(count))
    return counts
