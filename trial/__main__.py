"""Entry point of ``python -m trial``."""

import dataclasses
import sys

import cappa

from trial.commands import caller, failures, platform, relay, run, upstream


@cappa.command(name="trial", description="Trials of rattanlug on one machine.")
@dataclasses.dataclass
class Trial:
    """The command line.

    Attributes
    ----------
    command : cappa.Subcommands
    """

    command: cappa.Subcommands[
        run.Run
        | failures.Failures
        | platform.Platform
        | upstream.Upstream
        | relay.Relay
        | caller.Caller
    ]


def main() -> int:
    """Run the chosen command and return its exit code."""
    return cappa.invoke(Trial) or 0


if __name__ == "__main__":
    sys.exit(main())
