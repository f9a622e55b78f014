"""The difference between two rule texts."""

from collections.abc import Mapping
from typing import NamedTuple


class KindChange(NamedTuple):
    """Names of one kind that differ between two texts.

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
        Lines of the old text that the new text lacks, in their order.
    added : tuple of str
        Lines of the new text that the old text lacks, in their order.
    kinds : Mapping
        ``KindChange`` by kind of rule, only for kinds that differ.
    """

    removed: tuple[str, ...]
    added: tuple[str, ...]
    kinds: Mapping[str, KindChange]
