"""``objective ORGANISATION/ROUTE target=SHARE latency=SECONDS``."""

from rattanlug.model import objective
from rattanlug.rules import diagnostic, registry, rule_set, values


@registry.rule_kind(
    "objective",
    parts=("organisation", "route"),
    fields={"target": values.share, "latency": values.duration},
    wildcard=True,
)
def build_objective(parts, fields):
    """Return the record of an ``objective`` line."""
    return objective.Objective(parts[0], parts[1], fields["target"], fields["latency"])


@registry.cross_check
def check_objectives(rules):
    """Yield diagnostics for unknown organisations and routes."""
    for each in rules.of_kind("objective"):
        parts = each.line.name.text.split("/")
        for kind, name in zip(("organisation", "route"), parts, strict=True):
            if name != "*" and name not in rules.names(kind):
                yield diagnostic.Diagnostic(
                    each.line.number,
                    each.line.name.column,
                    f"unknown {kind} {name!r}",
                    "'*' or " + rule_set.list_names(rules.names(kind), kind),
                )
