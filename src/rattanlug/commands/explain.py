"""``rattanlug explain``."""

import json
import sys
from typing import Annotated

import cappa

from rattanlug.commands import exit_code, registry
from rattanlug.explain import log_reader, text


@registry.command(
    "explain",
    help="Show the decisions about one request.",
    description="Reads the logs of daemons from files, or from standard input.",
)
class Explain:
    """Show the decisions about one request."""

    request_id: Annotated[str, cappa.Arg(value_name="ID", help="Id of the request.")]
    files: Annotated[
        list[str], cappa.Arg(value_name="FILE", num_args=-1, help="Log files.")
    ]
    as_json: Annotated[
        bool, cappa.Arg(long="--json", help="Print one JSON object a decision.")
    ] = False

    def __call__(self) -> int | None:
        """Print the decisions; exit with an error if there are none."""
        lines = self._lines()
        found = log_reader.decisions_for_request(lines, self.request_id)
        if not found:
            print(f"no decision about {self.request_id} was found", file=sys.stderr)
            return int(exit_code.ExitCode.REFUSED)
        if self.as_json:
            for each in found:
                print(json.dumps(each._asdict()))
            return None
        changes = log_reader.state_changes_of_vms(lines, {each.vm for each in found})
        print(text.render(found, changes), end="")
        return None

    def _lines(self) -> list[str]:
        if not self.files:
            return sys.stdin.readlines()
        lines: list[str] = []
        for name in self.files:
            with open(name, encoding="utf-8", errors="replace") as file:
                lines.extend(file)
        return lines
