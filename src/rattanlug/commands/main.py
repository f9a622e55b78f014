"""Entry point of the command line."""

import importlib
import sys

import cappa

from rattanlug.commands import exit_code, registry
from rattanlug.errors import error

# First word of a command, and the modules that register its commands. A daemon
# imports only its own, since each VM pays for the memory and the start.
MODULES = {
    "gateway": ("gateway",),
    "daemon": ("daemon",),
    "explain": ("explain",),
    "status": ("status",),
    "burn": ("burn",),
    "settings": ("settings_check",),
    "rules": (
        "rules_check",
        "rules_show",
        "rules_diff",
        "rules_apply",
        "rules_history",
    ),
    "organisation": ("organisation_create",),
    "rate": ("rate_set",),
    "key": ("key_issue", "key_withdraw"),
    "move": ("move_start",),
    "drain": ("drain_start", "drain_end"),
}


def main(argv: list[str] | None = None) -> int:
    """Run one command.

    Parameters
    ----------
    argv : list of str, optional
        Arguments without the program's name; those of the process by default.

    Returns
    -------
    int
        Exit code.
    """
    arguments = sys.argv[1:] if argv is None else argv
    _load_commands(arguments[0] if arguments else "")
    try:
        result = cappa.invoke(
            registry.build_root(),
            argv=arguments,
            completion=False,
        )
    except error.RattanlugError as exc:
        print(exc.detail, file=sys.stderr)
        return int(exit_code.exit_code_for(exc.kind))
    except KeyboardInterrupt:
        print("interrupted; a change may or may not be stored", file=sys.stderr)
        return int(exit_code.ExitCode.UNREACHABLE)
    except OSError as exc:
        print(f"{exc.filename or 'output'}: {exc.strerror}", file=sys.stderr)
        return int(exit_code.ExitCode.BAD_INPUT)
    return int(result or 0)


def _load_commands(word: str) -> None:
    """Import the modules of one command, or of all if it is unknown."""
    words = [word] if word in MODULES else MODULES
    for each in words:
        for name in MODULES[each]:
            importlib.import_module(f"rattanlug.commands.{name}")
