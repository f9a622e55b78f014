"""Registry of the kinds of rules and of the checks across lines."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from rattanlug.rules import fault, rule_set

CrossCheck = Callable[[rule_set.RuleSet], Iterable[fault.Fault]]


class RuleKind(NamedTuple):
    """One kind of rule.

    Attributes
    ----------
    name : str
        First word of its lines.
    parts : tuple of str
        What the parts of the rule's name stand for, joined by ``/``.
    fields : Mapping
        Function from text to value by field name; it raises ``ValueError`` with
        what is accepted. All fields are required.
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
    """Register the decorated function as a check across lines."""
    CROSS_CHECKS.append(check)
    return check
