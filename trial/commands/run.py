"""Starts a deployment on loopback addresses and runs a trial."""

import dataclasses
from typing import Annotated

import cappa

from trial import deployment, options, session

_NAMES = sorted(deployment.DEPLOYMENTS)
_DEFAULTS = options.Options()


@cappa.command(name="run", description="Start a deployment and run a trial.")
@dataclasses.dataclass
class Run:
    """Arguments, as in `options.Options`."""

    deployment: Annotated[str, cappa.Arg(long=True, choices=_NAMES)] = "txiki"
    seconds: Annotated[float, cappa.Arg(long=True)] = _DEFAULTS.seconds
    rate: Annotated[float, cappa.Arg(long=True)] = _DEFAULTS.rate
    seed: Annotated[int, cappa.Arg(long=True)] = _DEFAULTS.seed
    small: Annotated[bool, cappa.Arg(long=True)] = False
    stay: Annotated[bool, cappa.Arg(long=True)] = False
    json: Annotated[str, cappa.Arg(long=True)] = ""

    def __call__(self) -> int:
        """Run the trial."""
        return session.run(options.Options(**dataclasses.asdict(self)))
