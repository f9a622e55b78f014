"""``drain upstream/NAME``, ``drain data_centre/NAME`` or ``drain vm/NAME``."""

from rattanlug.model import drain
from rattanlug.rules import diagnostic, registry, rule_set

_TARGETS = {each.value: each for each in drain.DrainTarget}


@registry.rule_kind("drain", parts=("target", "name"))
def build_drain(parts, fields):
    """Return the record of a ``drain`` line, None when its target is unknown."""
    target = _TARGETS.get(parts[0])
    return None if target is None else drain.Drain(target, parts[1])


@registry.cross_check
def check_drains(rules):
    """Yield diagnostics for unknown targets, except VMs, which aren't in the rules."""
    for each in rules.of_kind("drain"):
        number, column = each.line.number, each.line.name.column
        target, name = each.line.name.text.split("/")
        if target not in _TARGETS:
            accepted = ", ".join(f"{known}/<name>" for known in _TARGETS)
            yield diagnostic.Diagnostic(
                number, column, f"unknown target {target!r}", accepted
            )
        elif target != "vm" and name not in rules.names(target):
            accepted = rule_set.list_names(rules.names(target), target)
            yield diagnostic.Diagnostic(
                number, column, f"unknown {target} {name!r}", accepted
            )
