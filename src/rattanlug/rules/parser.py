"""Parses rule text into a configuration."""

from rattanlug.errors import error, kind
from rattanlug.model import configuration
from rattanlug.rules import diagnostic, kinds, line, registry, rule, rule_set, scanner

__all__ = ["kinds", "parse_rules", "split_lines"]

# For each attribute of the configuration: the kind of its rules and the attribute of
# the records that is the key; None for a tuple in the order of the text.
_COLLECTIONS = {
    "organisations": ("organisation", "name"),
    "keys": ("key", "digest"),
    "services": ("service", "name"),
    "routes": ("route", "name"),
    "upstreams": ("upstream", "name"),
    "data_centres": ("data_centre", "name"),
    "links": ("link", None),
    "moves": ("move", "name"),
    "drains": ("drain", None),
    "objectives": ("objective", None),
}


def parse_rules(text: str, version: int = 0) -> configuration.Configuration:
    """Parse and check rule text.

    Parameters
    ----------
    text : str
        One rule per line; blank lines and comment lines are skipped.
    version : int
        Version of the configuration.

    Returns
    -------
    configuration.Configuration
        Empty text gives the empty configuration.

    Raises
    ------
    error.InvalidInputError
        Of kind ``rule_invalid``, with one line of detail for each diagnostic: line,
        column, problem, accepted values.
    """
    diagnostics = []
    rules = {name: [] for name in registry.KINDS}
    for number, line_text in enumerate(split_lines(text), 1):
        scanned, line_diagnostics = scanner.scan_line(line_text, number)
        diagnostics += line_diagnostics
        if scanned is not None:
            rules[scanned.kind.text].append(
                _build(scanned, line_diagnostics, diagnostics)
            )
    grouped = rule_set.RuleSet(rules)
    diagnostics += _duplicate_names(grouped)
    for check in registry.CROSS_CHECKS:
        diagnostics += check(grouped)
    if diagnostics:
        detail = "\n".join(str(each) for each in sorted(set(diagnostics)))
        raise error.InvalidInputError(kind.ErrorKind.RULE_INVALID, detail)
    return _assemble(grouped, version)


def split_lines(text: str) -> list[str]:
    """Return the lines of rule text; lines end with LF or CR LF."""
    lines = [each.removesuffix("\r") for each in text.split("\n")]
    if lines[-1] == "":
        lines.pop()
    return lines


def _build(scanned: line.RuleLine, line_diagnostics, diagnostics) -> rule.Rule:
    rule_kind = registry.KINDS[scanned.kind.text]
    fields = {}
    for key, value in scanned.fields.items():
        try:
            fields[key] = rule_kind.fields[key](value.text)
        except ValueError as exc:
            problem = f"{key}: got {value.text!r}"
            diagnostics.append(
                diagnostic.Diagnostic(scanned.number, value.column, problem, str(exc))
            )
    if line_diagnostics or len(fields) < len(rule_kind.fields):
        return rule.Rule(scanned, None)
    return rule.Rule(scanned, rule_kind.build(scanned.name.text.split("/"), fields))


def _duplicate_names(rules):
    for name in registry.KINDS:
        seen = {}
        for each in rules.of_kind(name):
            first = seen.setdefault(each.line.name.text, each.line.number)
            if first != each.line.number:
                yield diagnostic.Diagnostic(
                    each.line.number,
                    each.line.name.column,
                    f"{name} {each.line.name.text} is already on line {first}",
                    "each name once for each kind",
                )


def _assemble(rules, version):
    collections = {}
    for attribute, (rule_kind, index) in _COLLECTIONS.items():
        records = [each.record for each in rules.of_kind(rule_kind)]
        if index is None:
            collections[attribute] = tuple(records)
        else:
            collections[attribute] = {getattr(each, index): each for each in records}
    return configuration.Configuration(version=version, **collections)
