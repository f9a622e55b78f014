"""``move NAME service=S from=V to=V by=TIME cap=NUMBER``."""

from rattanlug.model import move
from rattanlug.rules import diagnostic, registry, rule_set, values


@registry.rule_kind(
    "move",
    fields={
        "service": values.name,
        "from": values.name,
        "to": values.name,
        "by": values.time,
        "cap": values.number_above_zero,
    },
)
def build_move(parts, fields):
    """Return the record of a ``move`` line."""
    return move.Move(
        parts[0],
        fields["service"],
        fields["from"],
        fields["to"],
        fields["by"],
        fields["cap"],
    )


@registry.cross_check
def check_moves(rules):
    """Yield diagnostics for unknown services and invalid target versions.

    The target version must differ from the start version, and an upstream must have
    it: a move to a version without upstream can only be rolled back.
    """
    yield from rules.unknown_references("move", "service", "service")
    versions = {}
    for each in rules.of_kind("upstream"):
        fields = each.line.fields
        if "service" in fields and "version" in fields:
            service = versions.setdefault(fields["service"].text, set())
            service.add(fields["version"].text)
    for each in rules.valid("move"):
        target = each.line.fields["to"]
        if each.record.from_version == each.record.to_version:
            yield diagnostic.Diagnostic(
                each.line.number,
                target.column,
                f"to: the move ends at the version it starts from, {target.text!r}",
                "a version other than from",
            )
        known = versions.get(each.record.service, set())
        if (
            each.record.service in rules.names("service")
            and each.record.to_version not in known
        ):
            yield diagnostic.Diagnostic(
                each.line.number,
                target.column,
                f"to: no upstream of {each.record.service} has version {target.text!r}",
                rule_set.list_names(known, "upstream"),
            )
