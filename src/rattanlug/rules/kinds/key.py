"""``key ORGANISATION/NAME digest=SHA256``."""

from rattanlug.model import key
from rattanlug.rules import diagnostic, registry, rule_set, values


@registry.rule_kind(
    "key", parts=("organisation", "name"), fields={"digest": values.digest}
)
def build_key(parts, fields):
    """Return the record of a ``key`` line."""
    return key.Key(parts[0], parts[1], fields["digest"])


@registry.cross_check
def check_keys(rules):
    """Yield diagnostics for unknown organisations and duplicate digests.

    With a digest of two organisations, a request could be served for the wrong one.
    """
    known = rules.names("organisation")
    for each in rules.of_kind("key"):
        owner = each.line.name.text.split("/")[0]
        if owner not in known:
            yield diagnostic.Diagnostic(
                each.line.number,
                each.line.name.column,
                f"unknown organisation {owner!r}",
                rule_set.list_names(known, "organisation"),
            )
    seen = {}
    for each in rules.valid("key"):
        first = seen.setdefault(each.record.digest, each)
        if first is not each:
            yield diagnostic.Diagnostic(
                each.line.number,
                each.line.fields["digest"].column,
                f"digest of line {first.line.number} ({first.line.name.text})",
                "a digest that no other key has",
            )
