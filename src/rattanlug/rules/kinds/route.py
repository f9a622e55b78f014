"""``route NAME service=NAME method=M path=/P semantics=S access=A``."""

from rattanlug.model import route
from rattanlug.rules import diagnostic, registry, values


@registry.rule_kind(
    "route",
    fields={
        "service": values.name,
        "method": values.method,
        "path": values.path,
        "semantics": values.choice(route.Semantics),
        "access": values.choice(route.Access),
    },
)
def build_route(parts, fields):
    """Return the record of a ``route`` line."""
    return route.Route(parts[0], **fields)


@registry.cross_check
def check_routes(rules):
    """Yield diagnostics for unknown services and for duplicate routes."""
    yield from rules.unknown_references("route", "service", "service")
    seen = {}
    for each in rules.valid("route"):
        matched = (each.record.method, each.record.path)
        first = seen.setdefault(matched, each)
        if first is not each:
            yield diagnostic.Diagnostic(
                each.line.number,
                each.line.fields["path"].column,
                f"{matched[0]} {matched[1]} is already routed by line "
                f"{first.line.number} ({first.record.name})",
                "one route for each method and path",
            )
