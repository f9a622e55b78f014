"""Renders decisions as text."""

from collections.abc import Iterable

from rattanlug.explain import logged_event

# State changes shown before each decision.
MAX_SHOWN_CHANGES = 5
_HIDDEN_FIELDS = frozenset({"id", "at"})


def render(
    decisions: Iterable[logged_event.LoggedEvent],
    changes: Iterable[logged_event.LoggedEvent],
) -> str:
    """Return decisions in order, each after the VM's latest state changes before it."""
    all_changes = list(changes)
    lines = []
    for each in decisions:
        earlier_changes = [
            change
            for change in all_changes
            if change.vm == each.vm and change.time <= each.time
        ]
        for change in earlier_changes[-MAX_SHOWN_CHANGES:]:
            lines.append(f"    {change.time} {change.vm}: {_render_change(change)}")
        lines.append(f"{each.time} {each.vm}: {each.event}")
        for name, value in each.fields.items():
            if name not in _HIDDEN_FIELDS:
                lines.append(f"        {name}: {value}")
    return "\n".join(lines) + "\n"


def _render_change(change: logged_event.LoggedEvent) -> str:
    fields = change.fields
    rest = ", ".join(
        f"{name} {value}"
        for name, value in fields.items()
        if name not in ("what", "old", "new") and value not in ("", None)
    )
    text = f"{fields.get('what')} {fields.get('old')} -> {fields.get('new')}"
    return f"{text} ({rest})" if rest else text
