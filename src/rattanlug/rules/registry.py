"""Registry of the kinds of rules and of the checks across rules."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from rattanlug.rules import diagnostic, rule_set

CrossCheck = Callable[[rule_set.RuleSet], Iterable[diagnostic.Diagnostic]]


class RuleKind(NamedTuple):
    """One kind of rule.

    Attributes
    ----------
    name : str
        First word of the rule's line.
    parts : tuple of str
        Meanings of the parts of the rule's name, which ``/`` separates.
    fields : Mapping
        Converters from text to value by field name; they raise ``ValueError`` with a
        description of the accepted values. All fields are required.
    build : callable
        Function from the parts of the name and the values to a record.
    wildcard : bool
        Whether a part of the name may be ``*``.
    """

    name: str
    parts: tuple[str, ...]
    fields: Mapping[str, Callable[[str], Any]]
    build: Callable[..., Any]
    wildcard: bool


KINDS: dict[str, RuleKind] = {}
CROSS_CHECKS: list[CrossCheck] = []


def rule_kind(
    name: str,
    parts: tuple[str, ...] = ("name",),
    fields: Mapping[str, Callable[[str], Any]] | None = None,
    wildcard: bool = False,
):
    """Register the decorated function as the builder of a kind of rule.

    The function takes the parts of the name and a mapping of values and returns a
    record of ``rattanlug.model``.
    """

    def register(build):
        KINDS[name] = RuleKind(name, parts, fields or {}, build, wildcard)
        return build

    return register


def cross_check(check: CrossCheck) -> CrossCheck:
    """Register the decorated function as a check across rules."""
    CROSS_CHECKS.append(check)
    return check
