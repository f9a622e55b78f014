"""Reads decisions and state changes from log lines."""

from collections.abc import Iterable, Iterator

from rattanlug.encoding import json_text
from rattanlug.explain import logged_event

_FIELDS = {"decision": "event", "change": "state changed"}


def read_events(lines: Iterable[str]) -> Iterator[logged_event.LoggedEvent]:
    """Yield the decisions and state changes in log lines.

    Lines may start with other text, such as a time and a name added by a log collector.
    Truncated lines and lines of other programs are skipped.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            found = json_text.decode(line[start:])
        except ValueError:
            continue
        if not isinstance(found, dict):
            continue
        for name in _FIELDS:
            fields = found.get(name)
            if isinstance(fields, dict):
                yield logged_event.LoggedEvent(
                    str(found.get("time", "")),
                    str(found.get("vm", "")),
                    str(found.get("message", "")),
                    fields,
                )


def decisions_for_request(
    lines: Iterable[str], request_id: str
) -> list[logged_event.LoggedEvent]:
    """Return the decisions about a request, ordered by time."""
    found = [each for each in read_events(lines) if each.fields.get("id") == request_id]
    return sorted(found, key=lambda each: each.time)


def state_changes_of_vms(
    lines: Iterable[str], vms: Iterable[str]
) -> list[logged_event.LoggedEvent]:
    """Return the state changes of the given VMs, ordered by time."""
    vm_names = set(vms)
    found = [
        each
        for each in read_events(lines)
        if each.vm in vm_names and "what" in each.fields
    ]
    return sorted(found, key=lambda each: each.time)
