"""``rattanlug drain end``: puts a drained target back into service."""

from typing import Annotated

import cappa

from rattanlug.commands import change, exit_code, registry


@registry.command("drain", "end", help="Put a drained target back into service.")
class DrainEnd(change.Change):
    """Put a drained target back into service."""

    target: Annotated[
        str,
        cappa.Arg(
            value_name="KIND/NAME",
            help="upstream/NAME, data_centre/NAME or vm/NAME.",
        ),
    ]

    def __call__(self) -> exit_code.ExitCode:
        """Remove the target's ``drain`` line from the rules."""
        return self.edit(lambda rules: rules.remove("drain", self.target))
