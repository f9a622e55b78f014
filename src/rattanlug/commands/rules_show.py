"""``rattanlug rules show``: prints the rules in force."""

import sys

from rattanlug.commands import registry, rule_file, target


@registry.command(
    "rules",
    "show",
    help="Print the rules in force.",
    description="The first line names the version, for 'rattanlug rules apply'.",
)
class RulesShow(target.Target):
    """Print the rules in force."""

    def __call__(self) -> None:
        """Print the version header and the rules, as a rule file."""
        current = self.client().get_rules()
        sys.stdout.write(rule_file.header(current.version) + current.text)
