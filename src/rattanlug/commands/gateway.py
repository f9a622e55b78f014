"""``rattanlug gateway``: runs the entry daemon on the shared platform."""

from typing import Annotated

import cappa

from rattanlug.commands import registry
from rattanlug.gateway import settings_file
from rattanlug.logs import setup
from rattanlug.platform import boot_settings


@registry.command(
    "gateway",
    help="Run the entry daemon of this VM on the shared platform.",
    description="SIGTERM ends it gracefully: it finishes its requests and exits 0.",
)
class Gateway:
    """Run the entry daemon of this VM on the shared platform."""

    settings: Annotated[
        str,
        cappa.Arg(
            long="--settings",
            value_name="FILE",
            help="Settings of the platform, TOML; by default the file that the "
            "platform names in the environment.",
        ),
    ] = ""
    log_level: Annotated[
        str, cappa.Arg(long="--log-level", value_name="LEVEL", help="Lowest level.")
    ] = "INFO"

    def __call__(self) -> int | None:
        """Check the settings, then run until stopped."""
        path = self.settings or boot_settings.path_from_environment()
        loaded = settings_file.read_when_complete(path)
        setup.configure(self.log_level, loaded.vm, to_standard_output=True)
        # Imported here so that the other commands don't load the daemon.
        from rattanlug.gateway import run

        return run.run(loaded, path)
