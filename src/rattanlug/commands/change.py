"""A change of the rules by one operator."""

import dataclasses
import sys
from collections.abc import Callable
from typing import Annotated, TextIO

import cappa

from rattanlug.commands import exit_code, operator_client, target
from rattanlug.errors import error, kind
from rattanlug.rules import diff, document, parser


@dataclasses.dataclass(kw_only=True)
class Change(target.Target):
    """Arguments of every command that changes the rules.

    Attributes
    ----------
    who : str
    why : str
    dry_run : bool
    """

    who: Annotated[
        str,
        cappa.Arg(long="--who", value_name="NAME", help="Who asked for the change."),
    ]
    why: Annotated[
        str, cappa.Arg(long="--why", value_name="TEXT", help="Why, such as a ticket.")
    ]
    dry_run: Annotated[
        bool, cappa.Arg(long="--dry-run", help="Show the difference, change nothing.")
    ] = False

    @property
    def comment(self) -> str:
        """Comment of the changed line and author of the version."""
        return f"{self.who}: {self.why}"

    def edit(
        self,
        edit: Callable[[document.Document], document.Document],
        stream: TextIO | None = None,
    ) -> exit_code.ExitCode:
        """Read the rules in force, edit them and submit the result.

        Parameters
        ----------
        edit : callable
            Function from the rules in force to the changed rules.
        stream : file, optional
            Where the difference and the outcome are written; standard output by
            default.

        Returns
        -------
        exit_code.ExitCode

        Raises
        ------
        error.InvalidInputError
            When the rules in force or the changed rules are invalid; the change is
            not sent.
        """
        client = self.client()
        current = client.get_rules()
        # Editing single lines requires that all lines are valid.
        parser.parse_rules(current.text)
        changed = edit(document.Document.from_text(current.text)).render()
        return self.submit(client, current, changed, stream)

    def submit(
        self,
        client: operator_client.OperatorClient,
        current: operator_client.Rules,
        changed: str,
        stream: TextIO | None = None,
    ) -> exit_code.ExitCode:
        """Check changed rules, show the difference and submit them.

        The VM replaces ``current`` atomically.

        Returns
        -------
        exit_code.ExitCode

        Raises
        ------
        error.InvalidInputError
            When the changed rules are invalid; the change is not sent.
        """
        stream = stream or sys.stdout
        self._check_author()
        parser.parse_rules(changed)
        difference = diff.diff_rules(current.text, changed)
        if not difference.added and not difference.removed:
            print(f"version {current.version} already says so", file=stream)
            return exit_code.ExitCode.DONE
        stream.write(diff.render_diff(difference))
        stream.flush()
        if self.dry_run:
            print("dry run; nothing is changed", file=stream)
            return exit_code.ExitCode.DONE
        outcome = client.post_rules(current.version, changed, self.comment)
        print(outcome.describe(), file=stream)
        if isinstance(outcome, operator_client.VersionConflict):
            return exit_code.ExitCode.VERSION_CONFLICT
        return exit_code.ExitCode.DONE

    def _check_author(self):
        for name, value in (("--who", self.who), ("--why", self.why)):
            if not value.strip() or not value.isprintable():
                raise error.InvalidInputError(
                    kind.ErrorKind.RULE_INVALID,
                    f"{name}: got {value!r}; accepted: one line of printable text",
                )
