"""Reads the text exposition format."""

import re

_VIOLATIONS = re.compile(
    r'^rattanlug_violations_total\{invariant="([^"]+)"\} ([0-9.eE+]+)$', re.MULTILINE
)


def read_violations(text: str) -> dict[str, int]:
    """Return the violation counts by invariant."""
    return {name: int(float(count)) for name, count in _VIOLATIONS.findall(text)}
