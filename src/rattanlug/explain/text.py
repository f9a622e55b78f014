"""Renders decisions for people."""

from collections.abc import Iterable

from rattanlug.explain import logged_decision

# Changes of state that were made this many lines before the decision are shown.
SHOWN_CHANGES = 5
_HIDDEN = frozenset({"id", "at"})


def render(
    decisions: Iterable[logged_decision.LoggedDecision],
    changes: Iterable[logged_decision.LoggedDecision],
) -> str:
    """Return decisions in order, each with what the VM last learnt before it."""
    known = list(changes)
    lines = []
    for each in decisions:
        before = [
            change
            for change in known
            if change.vm == each.vm and change.time <= each.time
        ]
        for change in before[-SHOWN_CHANGES:]:
            lines.append(f"    {change.time} {change.vm}: {_change(change)}")
        lines.append(f"{each.time} {each.vm}: {each.event}")
        for name, value in each.fields.items():
            if name not in _HIDDEN:
                lines.append(f"        {name}: {value}")
    return "\n".join(lines) + "\n"


def _change(change: logged_decision.LoggedDecision) -> str:
    fields = change.fields
    rest = ", ".join(
        f"{name} {value}"
        for name, value in fields.items()
        if name not in ("what", "old", "new") and value not in ("", None)
    )
    text = f"{fields.get('what')} {fields.get('old')} -> {fields.get('new')}"
    return f"{text} ({rest})" if rest else text
