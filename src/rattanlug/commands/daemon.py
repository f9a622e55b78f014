"""``rattanlug daemon``."""

from typing import Annotated

import cappa

from rattanlug.commands import registry
from rattanlug.logs import setup
from rattanlug.settings import loader


@registry.command(
    "daemon",
    help="Run the entry daemon of this VM.",
    description="SIGTERM ends it gracefully: it finishes its requests and exits 0.",
)
class Daemon:
    """Run the entry daemon of this VM."""

    settings: Annotated[
        str, cappa.Arg(long="--settings", value_name="FILE", help="Settings, JSON.")
    ]

    def __call__(self) -> int | None:
        """Check the settings, then run until stopped."""
        loaded = loader.load_settings(self.settings)
        setup.configure(loaded.log_level, loaded.vm)
        # Imported here so that the other commands don't load the daemon.
        from rattanlug.daemon import run

        return run.run(loaded)
