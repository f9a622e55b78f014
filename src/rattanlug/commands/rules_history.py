"""``rattanlug rules history``: lists the versions of the rules."""

from rattanlug.commands import registry, target


@registry.command(
    "rules",
    "history",
    help="List the versions of the rules, the newest first.",
)
class RulesHistory(target.Target):
    """List the versions of the rules."""

    def __call__(self) -> None:
        """Print the history."""
        for each in self.client().get_history():
            print("\n".join(each.describe()))
