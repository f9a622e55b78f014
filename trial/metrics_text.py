"""Reads the text exposition format."""

import re

_VIOLATIONS = re.compile(
    r'^rattanlug_violations_total\{invariant="([^"]+)"\} ([0-9.eE+]+)$', re.MULTILINE
)
_FAULTS = ("loop_failures", "internal_errors")
_FAULT = re.compile(
    rf"^rattanlug_({'|'.join(_FAULTS)})_total(?:\{{[^}}]*\}})? ([0-9.eE+]+)$",
    re.MULTILINE,
)


def read_violations(text: str) -> dict[str, int]:
    """Return the violation counts by invariant, and the faults of the program.

    A fault that the daemon survives would otherwise stay unseen in a trial. It is
    exposed from its first occurrence on.
    """
    found = {name: int(float(count)) for name, count in _VIOLATIONS.findall(text)}
    if found:
        for name, count in _FAULT.findall(text):
            found[name] = found.get(name, 0) + int(float(count))
    return found
