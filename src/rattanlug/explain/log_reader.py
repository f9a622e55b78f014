"""Reads decisions from log lines, whatever else stands between them."""

import json
from collections.abc import Iterable, Iterator

from rattanlug.explain import logged_decision

_FIELDS = {"decision": "event", "change": "state changed"}


def read_decisions(lines: Iterable[str]) -> Iterator[logged_decision.LoggedDecision]:
    """Yield the decisions among some lines.

    Lines may begin with other text, such as a time and a name that a collector adds;
    lines that are cut off or come from other programs are passed over.
    """
    for line in lines:
        begin = line.find("{")
        if begin < 0:
            continue
        try:
            found = json.loads(line[begin:])
        except ValueError:
            continue
        if not isinstance(found, dict):
            continue
        for name in _FIELDS:
            fields = found.get(name)
            if isinstance(fields, dict):
                yield logged_decision.LoggedDecision(
                    str(found.get("time", "")),
                    str(found.get("vm", "")),
                    str(found.get("message", "")),
                    fields,
                )


def decisions_for_request(
    lines: Iterable[str], request_id: str
) -> list[logged_decision.LoggedDecision]:
    """Return the decisions about a request, in the order of their times."""
    found = [
        each for each in read_decisions(lines) if each.fields.get("id") == request_id
    ]
    return sorted(found, key=lambda each: each.time)


def state_changes_of_vms(
    lines: Iterable[str], vms: Iterable[str]
) -> list[logged_decision.LoggedDecision]:
    """Return the changes of state of some VMs, in the order of their times."""
    wanted = set(vms)
    found = [
        each
        for each in read_decisions(lines)
        if each.vm in wanted and "what" in each.fields
    ]
    return sorted(found, key=lambda each: each.time)
