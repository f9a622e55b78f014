"""``rattanlug settings check``: checks the settings file of ``rattanlug daemon``."""

from typing import Annotated

import cappa

from rattanlug.commands import registry
from rattanlug.settings import loader


@registry.command(
    "settings",
    "check",
    help="Check a settings file.",
    description="Reports every fault on a line of its own and opens no socket.",
)
class SettingsCheck:
    """Check a settings file."""

    file: Annotated[str, cappa.Arg(value_name="FILE", help="Settings, JSON.")]

    def __call__(self) -> None:
        """Check the file; errors are raised with one line for each."""
        loader.load_settings(self.file)
        print(f"{self.file}: valid")
