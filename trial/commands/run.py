"""Brings a deployment up on loopback and runs a trial."""

import dataclasses
from typing import Annotated

import cappa

from trial import deployment, options, session

_NAMES = sorted(deployment.DEPLOYMENTS)


@cappa.command(name="run", description="Start a deployment and run a trial.")
@dataclasses.dataclass
class Run:
    """Arguments, as in `options.Options`."""

    deployment: Annotated[str, cappa.Arg(long=True, choices=_NAMES)] = "txiki"
    small: Annotated[bool, cappa.Arg(long=True)] = False
    stay: Annotated[bool, cappa.Arg(long=True)] = False
    seed: Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> int:
        """Run the trial."""
        return session.run(options.Options(**dataclasses.asdict(self)))
