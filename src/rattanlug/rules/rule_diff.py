"""The difference between two rule texts."""

from collections.abc import Mapping
from typing import NamedTuple


class KindChange(NamedTuple):
    """Names of rules of one kind that differ between two texts.

    Attributes
    ----------
    added, removed, changed : tuple of str
    """

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()


class RuleDiff(NamedTuple):
    """Lines that differ between two texts.

    Attributes
    ----------
    removed : tuple of str
        Lines that are only in the old text, in their order.
    added : tuple of str
        Lines that are only in the new text, in their order.
    kinds : Mapping
        ``KindChange`` by kind of rule, only for kinds that differ.
    """

    removed: tuple[str, ...]
    added: tuple[str, ...]
    kinds: Mapping[str, KindChange]
