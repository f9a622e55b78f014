"""Runs the gateway daemon as ``python -m rattanlug.gateway``.

The platform starts it this way. Without the command-line parser, a daemon starts
faster after a power failure and uses less memory.
"""

import os
import signal
import sys
import time

from rattanlug.commands import import_patches
from rattanlug.logs import standard_streams


def main() -> int:
    """Run with the settings file named by the platform; return the exit code."""
    # These handlers apply before the daemon installs its own and after it removes
    # them, when there are no settings to reload and no requests to finish.
    signal.signal(signal.SIGTERM, _exit)
    signal.signal(signal.SIGINT, _exit)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    prepared_at = time.clock_gettime(time.CLOCK_BOOTTIME)
    standard_streams.open_missing()
    import_patches.disable_find_library()
    # Imported after the call above, because these modules import trio.
    from rattanlug.errors import error
    from rattanlug.gateway import run, settings_file
    from rattanlug.logs import setup
    from rattanlug.platform import boot_settings

    try:
        path = boot_settings.path_from_environment()
        settings = settings_file.read_when_complete(path)
    except error.InvalidInputError as exc:
        print(exc.detail, file=sys.stderr)
        return 2
    setup.configure("INFO", settings.vm, to_standard_output=True)
    return run.run(settings, path, prepared_at)


def _exit(signal_number: int, frame: object) -> None:
    """Exit; no request has been accepted yet, or all have been answered."""
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
