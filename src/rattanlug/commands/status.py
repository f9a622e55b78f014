"""``rattanlug status``."""

import json
from typing import Annotated

import cappa

from rattanlug.commands import exit_code, registry, status_text, target


@registry.command(
    "status",
    help="Show the state of a VM and what it knows of the others.",
    description="Exits with 1 when the VM counts violations of an invariant.",
)
class Status(target.Target):
    """Show the state of a VM and what it knows of the others."""

    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON for programs.")] = (
        False
    )

    def __call__(self) -> exit_code.ExitCode:
        """Print the status."""
        data = self.client().get("status")
        if self.json:
            print(json.dumps(data, indent=2))
        else:
            print(status_text.render(data), end="")
        violations = data.get("violations") if isinstance(data, dict) else None
        if isinstance(violations, dict) and any(violations.values()):
            return exit_code.ExitCode.REFUSED
        return exit_code.ExitCode.DONE
