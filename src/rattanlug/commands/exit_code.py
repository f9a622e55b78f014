"""Exit codes of the command line."""

import enum

from rattanlug.errors import kind


class ExitCode(enum.IntEnum):
    """How a command ended."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    VERSION_CONFLICT = 4


DESCRIPTION = (
    "Exit codes: 0 done; 1 refused, or violations; 2 bad input; "
    "3 platform or VM unreachable; 4 lost a race."
)

_CODES = {
    kind.ErrorKind.RULE_INVALID: ExitCode.BAD_INPUT,
    kind.ErrorKind.SETTINGS_INVALID: ExitCode.BAD_INPUT,
    kind.ErrorKind.PLATFORM_UNAVAILABLE: ExitCode.UNREACHABLE,
    kind.ErrorKind.OUTCOME_UNKNOWN: ExitCode.UNREACHABLE,
    kind.ErrorKind.ANSWER_BROKEN: ExitCode.UNREACHABLE,
    kind.ErrorKind.VERSION_CONFLICT: ExitCode.VERSION_CONFLICT,
}


def exit_code_for(error_kind: kind.ErrorKind) -> ExitCode:
    """Return the exit code for an error kind, ``REFUSED`` by default."""
    return _CODES.get(error_kind, ExitCode.REFUSED)
