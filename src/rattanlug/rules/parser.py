"""Parses rule text into the configuration that it stands for."""

from rattanlug.errors import error, kind
from rattanlug.model import configuration
from rattanlug.rules import fault, kinds, line, registry, rule, rule_set, scanner

__all__ = ["kinds", "parse_rules", "split_lines"]

# Attributes of the configuration: the kind of rule and the attribute that the
# records are found by, None for a tuple in the order of the text.
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
        One rule a line; blank lines and lines of comment only are skipped.
    version : int
        Version that the configuration carries.

    Returns
    -------
    configuration.Configuration
        Empty text gives the empty configuration.

    Raises
    ------
    error.InvalidInputError
        Of kind ``rule_invalid``, with one line of detail for each fault: line,
        column, what is wrong, what is accepted.
    """
    faults = []
    rules = {name: [] for name in registry.KINDS}
    for number, line_text in enumerate(split_lines(text), 1):
        scanned, line_faults = scanner.scan_line(line_text, number)
        faults += line_faults
        if scanned is not None:
            rules[scanned.kind.text].append(_build(scanned, line_faults, faults))
    grouped = rule_set.RuleSet(rules)
    faults += _duplicate_names(grouped)
    for check in registry.CROSS_CHECKS:
        faults += check(grouped)
    if faults:
        detail = "\n".join(str(each) for each in sorted(set(faults)))
        raise error.InvalidInputError(kind.ErrorKind.RULE_INVALID, detail)
    return _assemble(grouped, version)


def split_lines(text: str) -> list[str]:
    """Return the lines of rule text, which LF or CR LF end."""
    lines = [each.removesuffix("\r") for each in text.split("\n")]
    if lines[-1] == "":
        lines.pop()
    return lines


def _build(scanned: line.RuleLine, line_faults, faults) -> rule.Rule:
    rule_kind = registry.KINDS[scanned.kind.text]
    fields = {}
    for key, value in scanned.fields.items():
        try:
            fields[key] = rule_kind.fields[key](value.text)
        except ValueError as exc:
            problem = f"{key}: got {value.text!r}"
            faults.append(fault.Fault(scanned.number, value.column, problem, str(exc)))
    if line_faults or len(fields) < len(rule_kind.fields):
        return rule.Rule(scanned, None)
    return rule.Rule(scanned, rule_kind.build(scanned.name.text.split("/"), fields))


def _duplicate_names(rules):
    for name in registry.KINDS:
        seen = {}
        for each in rules.of_kind(name):
            first = seen.setdefault(each.line.name.text, each.line.number)
            if first != each.line.number:
                yield fault.Fault(
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
