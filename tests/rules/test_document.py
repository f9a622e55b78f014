"""Guards against edits that change more than one line."""

import pathlib

import pytest

from rattanlug.errors import error
from rattanlug.rules import diff, document, parser

RULES = (pathlib.Path(__file__).parent / "example.rules").read_text()


def test_rendering_gives_the_same_text():
    """Reformatted lines would show up as changes."""
    assert document.Document.from_text(RULES).render() == RULES


def test_each_edit_changes_one_line_and_stays_valid():
    """A command that rewrites other rules would undo another operator's change."""
    original = document.Document.from_text(RULES)
    line = document.render_line(
        "organisation", "urdina", {"rate": "60", "burst": "100"}, "Ane: ticket 14"
    )
    replaced = original.replace("organisation", "urdina", line).render()
    added = original.add("drain vm/bizkaia-1-a  # Jon: kernel").render()
    removed = original.remove("drain", "upstream/l-01").render()
    assert parser.parse_rules(replaced).organisations["urdina"].rate == 60
    assert len(parser.parse_rules(added).drains) == 2
    assert parser.parse_rules(removed).drains == ()
    sizes = [
        tuple(map(len, diff.diff_rules(RULES, text)[:2]))
        for text in (replaced, added, removed)
    ]
    assert sizes == [(1, 1), (0, 1), (1, 0)]


def test_unknown_rule_cannot_be_removed():
    """Withdrawing an unknown key must not report success."""
    with pytest.raises(error.InvalidInputError):
        document.Document.from_text(RULES).remove("key", "urdina/none")


def test_comment_cannot_start_another_rule():
    """A reason with a line end would add a rule that nobody reviewed."""
    with pytest.raises(error.InvalidInputError):
        document.render_line("drain", "vm/a", {}, "Jon\norganisation x rate=1")


def test_summary_names_what_changed():
    """An operator who reads the wrong name confirms the wrong change."""
    new = RULES.replace("rate=50 ", "rate=60 ").replace("drain upstream/l-01 ", "#")
    assert diff.render_diff(diff.diff_rules(RULES, new)).endswith(
        "drain: removed upstream/l-01\norganisation: changed urdina\n"
    )


def test_order_of_lines_is_no_difference():
    """Sorting a file must not look like a change of every rule."""
    reordered = "\n".join(reversed(RULES.splitlines())) + "\n"
    result = diff.diff_rules(RULES, reordered)
    assert result == ((), (), {})
