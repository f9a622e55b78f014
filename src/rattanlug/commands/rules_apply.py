"""``rattanlug rules apply``."""

from typing import Annotated

import cappa

from rattanlug.commands import change, exit_code, operator_client, registry, rule_file
from rattanlug.errors import error, kind


@registry.command(
    "rules",
    "apply",
    help="Replace the rules by a file.",
    description=(
        "The file is applied only to the version that it was made from: the one on "
        "its first line as 'rattanlug rules show' writes it, or --expected-version."
    ),
)
class RulesApply(change.Change):
    """Replace the rules by a file."""

    file: Annotated[str, cappa.Arg(value_name="FILE", help="Rules.")]
    expected_version: Annotated[
        int | None,
        cappa.Arg(
            long="--expected-version",
            value_name="NUMBER",
            help="Version that the file was made from.",
        ),
    ] = None

    def __call__(self) -> exit_code.ExitCode:
        """Apply the file."""
        wanted = rule_file.read(self.file)
        expected = self.expected_version
        if expected is None:
            expected = wanted.version
        if expected is None:
            raise error.InvalidInputError(
                kind.ErrorKind.RULE_INVALID,
                f"{self.file}: no version; accepted: '# version <number>' on the first "
                "line, or --expected-version",
            )
        client = self.client()
        current = client.get_rules()
        if current.version != expected:
            # Another version would show others' changes as removed by this one.
            outcome = _changed_since(client, expected, current)
            print(outcome.describe())
            return exit_code.ExitCode.LOST_RACE
        return self.submit(client, current, wanted.text)


def _changed_since(client, expected, current):
    try:
        history = client.get_history()
    except error.RattanlugError:
        # The race is lost whether or not the VM can still say to whom.
        history = []
    entries = [each for each in history if each.version > expected]
    newest = max(entries, default=None, key=lambda each: each.version)
    changes = [line for each in reversed(entries) for line in each.describe()]
    author = newest.author if newest else "an author that the VM does not name"
    return operator_client.LostRace(current.version, author, changes)
