"""``rattanlug rules diff``."""

import sys
from typing import Annotated

import cappa

from rattanlug.commands import registry, rule_file, target
from rattanlug.rules import diff


@registry.command(
    "rules",
    "diff",
    help="Compare the rules in force with a file.",
    description="Prints '-' lines that the file lacks and '+' lines that it adds.",
)
class RulesDiff(target.Target):
    """Compare the rules in force with a file."""

    file: Annotated[str, cappa.Arg(value_name="FILE", help="Rules.")]

    def __call__(self) -> None:
        """Print the difference."""
        edited = rule_file.read(self.file)
        current = self.client().get_rules()
        print(f"version {current.version} in force")
        sys.stdout.write(diff.render_diff(diff.diff_rules(current.text, edited.text)))
