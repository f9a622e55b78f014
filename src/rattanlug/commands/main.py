"""Entry point of the command line."""

import importlib
import sys

import cappa

from rattanlug.commands import exit_code, registry
from rattanlug.errors import error

# Modules that register the commands, by the first word of the command line. Only those
# of the given word are imported, which saves memory and start time of the daemons.
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
        Arguments without the program name; those of the process by default.

    Returns
    -------
    int
        Exit code.
    """
    arguments = sys.argv[1:] if argv is None else argv
    _import_commands(arguments[0] if arguments else "")
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


def _import_commands(word: str) -> None:
    """Import the modules for a first word, or all if the word is unknown."""
    words = [word] if word in MODULES else MODULES
    for each in words:
        for name in MODULES[each]:
            importlib.import_module(f"rattanlug.commands.{name}")
