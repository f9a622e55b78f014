"""``rattanlug rate set``."""

from typing import Annotated

import cappa

from rattanlug.commands import change, exit_code, registry
from rattanlug.errors import error, kind
from rattanlug.rules import document


@registry.command(
    "rate",
    "set",
    help="Change the rate or the burst of an organisation.",
    description="What is not given stays as it is.",
)
class RateSet(change.Change):
    """Change the rate or the burst of an organisation."""

    organisation: Annotated[str, cappa.Arg(value_name="NAME", help="Its name.")]
    rate: Annotated[
        str | None,
        cappa.Arg(long="--rate", value_name="NUMBER", help="Requests per second."),
    ] = None
    burst: Annotated[
        str | None,
        cappa.Arg(
            long="--burst",
            value_name="NUMBER",
            help="Requests that may come at once.",
        ),
    ] = None

    def __call__(self) -> exit_code.ExitCode:
        """Change the line."""
        if self.rate is None and self.burst is None:
            raise error.InvalidInputError(
                kind.ErrorKind.RULE_INVALID,
                "rate set: nothing to change; accepted: --rate, --burst or both",
            )
        return self.edit(self._change)

    def _change(self, rules):
        found = rules.require("organisation", self.organisation)
        fields = {name: value.text for name, value in found.fields.items()}
        given = {"rate": self.rate, "burst": self.burst}
        changed = fields | {k: v for k, v in given.items() if v is not None}
        if changed == fields:
            return rules
        line = document.render_line(
            "organisation", self.organisation, changed, self.comment
        )
        return rules.replace("organisation", self.organisation, line)
