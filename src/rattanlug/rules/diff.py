"""Compares two rule texts line by line."""

import collections

from rattanlug.rules import parser, rule_diff


def diff_rules(old_text: str, new_text: str) -> rule_diff.RuleDiff:
    """Return the lines removed and added, with a summary by kind.

    The order of lines has no meaning, so a moved line is no difference. The texts need
    not be valid.

    Parameters
    ----------
    old_text, new_text : str

    Returns
    -------
    rule_diff.RuleDiff
    """
    old, new = parser.split_lines(old_text), parser.split_lines(new_text)
    removed, added = _difference(old, new), _difference(new, old)
    return rule_diff.RuleDiff(removed, added, _summarise(removed, added))


def render_diff(diff: rule_diff.RuleDiff) -> str:
    """Return a difference as human-readable text, empty if there is none.

    Parameters
    ----------
    diff : rule_diff.RuleDiff

    Returns
    -------
    str
        ``-`` and ``+`` lines, then one line for each kind that differs.
    """
    lines = [f"- {each}" for each in diff.removed]
    lines += [f"+ {each}" for each in diff.added]
    for kind, change in diff.kinds.items():
        parts = [
            f"{label} {', '.join(names)}"
            for label, names in change._asdict().items()
            if names
        ]
        lines.append(f"{kind}: {'; '.join(parts)}")
    return "".join(f"{each}\n" for each in lines)


def _difference(lines, others):
    remaining = collections.Counter(others)
    result = []
    for each in lines:
        if remaining[each]:
            remaining[each] -= 1
        else:
            result.append(each)
    return tuple(result)


def _summarise(removed, added):
    old, new = _names_by_kind(removed), _names_by_kind(added)
    return {
        kind: rule_diff.KindChange(
            added=tuple(n for n in new.get(kind, ()) if n not in old.get(kind, ())),
            removed=tuple(n for n in old.get(kind, ()) if n not in new.get(kind, ())),
            changed=tuple(n for n in old.get(kind, ()) if n in new.get(kind, ())),
        )
        for kind in sorted({*old, *new})
    }


def _names_by_kind(lines):
    result = {}
    for each in lines:
        words = each.partition("#")[0].split()
        if len(words) > 1:
            # A dict as a set that keeps the order of the text.
            result.setdefault(words[0], {})[words[1]] = None
    return result
