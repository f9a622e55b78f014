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
        edited = rule_file.read(self.file)
        expected = self.expected_version
        if expected is None:
            expected = edited.version
        if expected is None:
            raise error.InvalidInputError(
                kind.ErrorKind.RULE_INVALID,
                f"{self.file}: no version; accepted: '# version <number>' on the first "
                "line, or --expected-version",
            )
        client = self.client()
        current = client.get_rules()
        if current.version != expected:
            # A difference from another version would show the changes of others as
            # removed by this one.
            outcome = _conflict_since(client, expected, current)
            print(outcome.describe())
            return exit_code.ExitCode.VERSION_CONFLICT
        return self.submit(client, current, edited.text)


def _conflict_since(client, expected, current):
    try:
        history = client.get_history()
    except error.RattanlugError:
        # The conflict is reported even if the VM can't tell who made the other change.
        history = []
    entries = [each for each in history if each.version > expected]
    newest = max(entries, default=None, key=lambda each: each.version)
    changes = [line for each in reversed(entries) for line in each.describe()]
    author = newest.author if newest else "an author that the VM does not name"
    return operator_client.VersionConflict(current.version, author, changes)
