"""``upstream NAME`` with service, version, data_centre, address, slots, connections."""

from rattanlug.model import upstream
from rattanlug.rules import diagnostic, registry, values


@registry.rule_kind(
    "upstream",
    fields={
        "service": values.name,
        "version": values.name,
        "data_centre": values.name,
        "address": values.address,
        "slots": values.count,
        "connections": values.count,
    },
)
def build_upstream(parts, fields):
    """Return the record of an ``upstream`` line."""
    host, port = fields["address"]
    return upstream.Upstream(
        parts[0],
        fields["service"],
        fields["version"],
        fields["data_centre"],
        host,
        port,
        fields["slots"],
        fields["connections"],
    )


@registry.cross_check
def check_upstreams(rules):
    """Yield diagnostics for unknown references and duplicate addresses.

    Two rules with one address would give the process at the address twice its slots.
    """
    yield from rules.unknown_references("upstream", "service", "service")
    yield from rules.unknown_references("upstream", "data_centre", "data_centre")
    seen = {}
    for each in rules.valid("upstream"):
        first = seen.setdefault((each.record.host, each.record.port), each)
        if first is not each:
            yield diagnostic.Diagnostic(
                each.line.number,
                each.line.fields["address"].column,
                f"address of line {first.line.number} ({first.record.name})",
                "one upstream for each address",
            )
