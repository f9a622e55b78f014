"""Runs the platform stand-in."""

import dataclasses
from typing import Annotated

import cappa
import trio

from trial.platform import server


@cappa.command(name="platform", description="Run the platform stand-in.")
@dataclasses.dataclass
class Platform:
    """Arguments.

    Attributes
    ----------
    host : str
    port : int
    """

    host: Annotated[str, cappa.Arg(long=True)]
    port: Annotated[int, cappa.Arg(long=True)]

    def __call__(self) -> int:
        """Serve until the process ends."""
        trio.run(server.run_server, self.host, self.port)
        return 0
