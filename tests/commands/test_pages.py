"""Guards against commands, rules and settings that are not documented."""

import pathlib

from rattanlug.commands import main, registry
from rattanlug.rules import kinds
from rattanlug.rules import registry as rule_registry
from rattanlug.settings import daemon_settings

DOCS = pathlib.Path(__file__).parents[2] / "docs"


def test_every_command_is_documented():
    """An undocumented command is not found when it is needed."""
    page = (DOCS / "operators" / "commands.md").read_text()
    assert main.MODULES
    assert [p for p in registry.COMMANDS if " ".join(p) not in page] == []


def test_every_kind_of_rule_and_its_fields_are_documented():
    """Operators would have to guess an undocumented field."""
    page = (DOCS / "rules.md").read_text()
    assert kinds.__all__ == sorted(rule_registry.KINDS)
    rows = {
        each.name: line
        for each in rule_registry.KINDS.values()
        for line in page.splitlines()
        if line.startswith(f"| `{each.name}`")
    }
    for each in rule_registry.KINDS.values():
        assert [f for f in each.fields if f"`{f}`" not in rows[each.name]] == []


def test_every_setting_is_documented():
    """An undocumented setting always keeps its default."""
    page = (DOCS / "settings.md").read_text()
    assert [
        f for f in daemon_settings.DaemonSettings._fields if f"| `{f}` |" not in page
    ] == []
