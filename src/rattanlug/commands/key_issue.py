"""``rattanlug key issue``: adds an API key to an organisation."""

import hashlib
import secrets
import sys
from typing import Annotated

import cappa

from rattanlug.commands import change, exit_code, registry
from rattanlug.rules import document

_KEY_BYTES = 32


@registry.command(
    "key",
    "issue",
    help="Issue a key and print it once.",
    description=(
        "Standard output holds only the key; everything else goes to standard error. "
        "The rules hold only its SHA-256, so it cannot be shown again. No key is "
        "printed unless the change is accepted."
    ),
)
class KeyIssue(change.Change):
    """Issue a key and print it once."""

    name: Annotated[
        str,
        cappa.Arg(value_name="ORGANISATION/NAME", help="Organisation and key name."),
    ]

    def __call__(self) -> exit_code.ExitCode:
        """Add a ``key`` line with the key's digest to the rules, then print the key."""
        key = secrets.token_urlsafe(_KEY_BYTES)
        digest = hashlib.sha256(key.encode()).hexdigest()
        line = document.render_line("key", self.name, {"digest": digest}, self.comment)
        code = self.edit(lambda rules: rules.add(line), sys.stderr)
        if code is exit_code.ExitCode.DONE and not self.dry_run:
            print(key)
        return code
