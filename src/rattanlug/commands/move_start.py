"""``rattanlug move start``: starts the move of a service to another version."""

from typing import Annotated

import cappa

from rattanlug.commands import change, exit_code, registry
from rattanlug.rules import document


@registry.command(
    "move",
    "start",
    help="Start to move a service to another version.",
    description=(
        "The move starts from the service's version in the rules. A move that is not "
        "done at its deadline is rolled back."
    ),
)
class MoveStart(change.Change):
    """Start to move a service to another version.

    A move shifts the requests of a service gradually from the upstreams of one version
    to those of another.
    """

    name: Annotated[str, cappa.Arg(value_name="NAME", help="Name of the move.")]
    service: Annotated[
        str, cappa.Arg(long="--service", value_name="NAME", help="Service to move.")
    ]
    to: Annotated[
        str, cappa.Arg(long="--to", value_name="VERSION", help="Version to move to.")
    ]
    by: Annotated[
        str,
        cappa.Arg(
            long="--by",
            value_name="TIME",
            help="Deadline, such as 2026-12-04T18:00:00Z.",
        ),
    ]
    cap: Annotated[
        str,
        cappa.Arg(
            long="--cap",
            value_name="NUMBER",
            help="Most requests per second that the move shifts.",
        ),
    ]

    def __call__(self) -> exit_code.ExitCode:
        """Add a ``move`` line to the rules."""
        return self.edit(self._add)

    def _add(self, rules):
        service = rules.require("service", self.service)
        fields = {
            "service": self.service,
            "from": service.fields["version"].text,
            "to": self.to,
            "by": self.by,
            "cap": self.cap,
        }
        return rules.add(document.render_line("move", self.name, fields, self.comment))
