"""``rattanlug key withdraw``: removes an API key of an organisation."""

from typing import Annotated

import cappa

from rattanlug.commands import change, exit_code, registry


@registry.command("key", "withdraw", help="Withdraw a key.")
class KeyWithdraw(change.Change):
    """Withdraw a key."""

    name: Annotated[
        str,
        cappa.Arg(value_name="ORGANISATION/NAME", help="Organisation and key name."),
    ]

    def __call__(self) -> exit_code.ExitCode:
        """Remove the ``key`` line from the rules."""
        return self.edit(lambda rules: rules.remove("key", self.name))
