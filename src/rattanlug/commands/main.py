"""Entry point of the command line."""

import sys

import cappa

from rattanlug.commands import (
    burn,
    daemon,
    drain_end,
    drain_start,
    exit_code,
    key_issue,
    key_withdraw,
    move_start,
    organisation_create,
    rate_set,
    registry,
    rules_apply,
    rules_check,
    rules_diff,
    rules_history,
    rules_show,
    settings_check,
    status,
)
from rattanlug.errors import error

# Importing a module registers its command.
MODULES = (
    daemon,
    status,
    burn,
    settings_check,
    rules_check,
    rules_show,
    rules_diff,
    rules_apply,
    rules_history,
    organisation_create,
    rate_set,
    key_issue,
    key_withdraw,
    move_start,
    drain_start,
    drain_end,
)


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
    try:
        result = cappa.invoke(
            registry.build_root(),
            argv=argv,
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
