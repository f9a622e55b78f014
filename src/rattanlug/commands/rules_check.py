"""``rattanlug rules check``: checks a rule file without contacting a VM."""

from typing import Annotated

import cappa

from rattanlug.commands import registry, rule_file


@registry.command(
    "rules",
    "check",
    help="Check a file of rules.",
    description="Reports every wrong line with its column and what is accepted.",
)
class RulesCheck:
    """Check a file of rules."""

    file: Annotated[str, cappa.Arg(value_name="FILE", help="Rules.")]

    def __call__(self) -> None:
        """Check the file; errors are raised with one line for each."""
        rule_file.read(self.file)
        print(f"{self.file}: valid")
