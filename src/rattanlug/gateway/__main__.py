"""Runs the entry daemon as ``python -m rattanlug.gateway``.

The platform starts it this way: without the command line, a daemon is back sooner
after a loss of power, and smaller.
"""

import os
import signal
import sys

from rattanlug.commands import import_patches


def main() -> int:
    """Run with the settings file that the platform names; return the exit code."""
    # Hold while the daemon's own handlers are not there yet, or not any more: there is
    # nothing to read again then, and nothing to finish.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _end)
    import_patches.disable_find_library()
    # Imported after that, because they import trio.
    from rattanlug.errors import error
    from rattanlug.gateway import run
    from rattanlug.logs import setup
    from rattanlug.platform import boot_settings

    try:
        path = boot_settings.path_from_environment()
        settings = boot_settings.read(path)
    except error.InvalidInputError as exc:
        print(exc.detail, file=sys.stderr)
        return 2
    setup.configure("INFO", settings.vm, to_standard_output=True)
    return run.run(settings, path)


def _end(number: int, frame: object) -> None:
    """End the process; no request was accepted yet, or all are answered."""
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
