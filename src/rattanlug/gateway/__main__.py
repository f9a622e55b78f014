"""Runs the gateway daemon, as a script or as ``python -m rattanlug.gateway``.

The platform starts it as a script and without ``site``. Without the command-line
parser, a daemon starts faster after a power failure and uses less memory.
"""

# Until the handlers are installed, SIGTERM, SIGINT and SIGHUP end the process. So
# nothing is imported before that but modules that are part of the interpreter, which
# ``os`` and ``signal`` are not.
import _signal
import posix
import sys
import time

_PATH_IN_ROOT = "/rattanlug/gateway/__main__.py"


def main() -> int:
    """Run with the settings file named by the platform; return the exit code."""
    # These handlers apply before the daemon installs its own and after it removes
    # them, when there are no settings to reload and no requests to finish.
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    _signal.signal(_signal.SIGTERM, _exit)
    _signal.signal(_signal.SIGINT, _exit)
    # A process inherits the signals that its parent blocks.
    _signal.pthread_sigmask(
        _signal.SIG_UNBLOCK, (_signal.SIGHUP, _signal.SIGTERM, _signal.SIGINT)
    )
    prepared_at = time.clock_gettime(time.CLOCK_BOOTTIME)
    _add_import_root()
    from rattanlug.commands import import_patches
    from rattanlug.logs import standard_streams

    standard_streams.open_missing()
    import_patches.disable_find_library()
    # Imported after the call above, because these modules import trio.
    from rattanlug.errors import error
    from rattanlug.gateway import run, settings_file
    from rattanlug.logs import setup
    from rattanlug.platform import boot_settings

    # The name of the VM isn't known yet.
    setup.configure("INFO", "", to_standard_output=True)
    try:
        path = boot_settings.path_from_environment()
        settings = settings_file.read_when_complete(path, waits_for_file=True)
    except error.InvalidInputError as exc:
        standard_streams.write_error(exc.detail)
        return 2
    setup.configure("INFO", settings.vm, to_standard_output=True)
    return run.run(settings, path, prepared_at)


def _exit(signal_number: int, frame: object) -> None:
    """Exit; no request has been accepted yet, or all have been answered."""
    posix._exit(0)


def _add_import_root() -> None:
    """Let the package, and the libraries beside it, be imported by a script."""
    import os.path

    root = os.path.abspath(__file__).removesuffix(_PATH_IN_ROOT)
    if root not in map(os.path.abspath, sys.path):
        sys.path.insert(0, root)


if __name__ == "__main__":
    # The exit of the interpreter would fail if a standard stream can't be written to.
    posix._exit(main())
