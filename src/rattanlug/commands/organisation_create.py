"""``rattanlug organisation create``: adds an organisation with its rate limit."""

from typing import Annotated

import cappa

from rattanlug.commands import change, exit_code, registry
from rattanlug.rules import document


@registry.command("organisation", "create", help="Add an organisation.")
class OrganisationCreate(change.Change):
    """Add an organisation."""

    name: Annotated[str, cappa.Arg(value_name="NAME", help="Its name.")]
    rate: Annotated[
        str,
        cappa.Arg(
            long="--rate",
            value_name="NUMBER",
            help="Requests per second over the whole fleet.",
        ),
    ]
    burst: Annotated[
        str,
        cappa.Arg(
            long="--burst",
            value_name="NUMBER",
            help="Requests that may come at once.",
        ),
    ]

    def __call__(self) -> exit_code.ExitCode:
        """Add an ``organisation`` line to the rules."""
        fields = {"rate": self.rate, "burst": self.burst}
        line = document.render_line("organisation", self.name, fields, self.comment)
        return self.edit(lambda rules: rules.add(line))
