"""``rattanlug drain start``: takes an upstream, data centre or VM out of service."""

from typing import Annotated

import cappa

from rattanlug.commands import change, exit_code, registry
from rattanlug.rules import document


@registry.command(
    "drain",
    "start",
    help="Take an upstream, a data centre or a VM out of service.",
    description="It gets no new work; work in progress is finished.",
)
class DrainStart(change.Change):
    """Take an upstream, a data centre or a VM out of service."""

    target: Annotated[
        str,
        cappa.Arg(
            value_name="KIND/NAME",
            help="upstream/NAME, data_centre/NAME or vm/NAME.",
        ),
    ]

    def __call__(self) -> exit_code.ExitCode:
        """Add a ``drain`` line for the target to the rules."""
        line = document.render_line("drain", self.target, {}, self.comment)
        return self.edit(lambda rules: rules.add(line))
