"""All rules of one text, for checks across rules."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from rattanlug.rules import diagnostic, rule


class RuleSet(NamedTuple):
    """Rules grouped by kind.

    Attributes
    ----------
    rules : Mapping
        Lists of rules by name of the kind, in the order of the text. Rules with an
        invalid value are included, so that references to them aren't reported as well.
    """

    rules: Mapping[str, list[rule.Rule]]

    def of_kind(self, kind: str) -> list[rule.Rule]:
        """Return every rule of a kind, including those with invalid values."""
        return self.rules.get(kind, [])

    def valid(self, kind: str) -> list[rule.Rule]:
        """Return the rules of a kind whose values are all valid."""
        return [each for each in self.of_kind(kind) if each.record is not None]

    def names(self, kind: str) -> set[str]:
        """Return the names that rules of a kind declare."""
        return {each.line.name.text for each in self.of_kind(kind)}

    def unknown_references(
        self, kind: str, field: str, target_kind: str
    ) -> Iterator[diagnostic.Diagnostic]:
        """Yield a diagnostic for each field that names a rule that does not exist.

        Parameters
        ----------
        kind : str
            Kind of the referring rules.
        field : str
            Field with the name of the other rule.
        target_kind : str
            Kind of the rules that the field refers to.
        """
        known = self.names(target_kind)
        for each in self.of_kind(kind):
            value = each.line.fields.get(field)
            if value is not None and value.text not in known:
                yield diagnostic.Diagnostic(
                    each.line.number,
                    value.column,
                    f"{field}: unknown {target_kind} {value.text!r}",
                    list_names(known, target_kind),
                )


def list_names(names: set[str], kind: str) -> str:
    """Return a short list of accepted names for a message."""
    if not names:
        return f"the name of a {kind} rule; there is none yet"
    ordered = sorted(names)
    shown = ", ".join(ordered[:8])
    return shown if len(ordered) <= 8 else f"{shown} or {len(ordered) - 8} more"
