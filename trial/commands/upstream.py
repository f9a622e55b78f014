"""Runs an upstream stand-in."""

import dataclasses
import json
from typing import Annotated

import cappa
import trio

from trial.upstream import behaviour, server


@cappa.command(name="upstream", description="Run an upstream stand-in.")
@dataclasses.dataclass
class Upstream:
    """Arguments.

    Attributes
    ----------
    host, port, name, service, version, slots, connections
        As in the upstream's line of the rules.
    seed : int
        For the random service times.
    behaviour : str
        JSON object with fields of `behaviour.Behaviour`.
    """

    host: Annotated[str, cappa.Arg(long=True)]
    port: Annotated[int, cappa.Arg(long=True)]
    name: Annotated[str, cappa.Arg(long=True)]
    service: Annotated[str, cappa.Arg(long=True)]
    version: Annotated[str, cappa.Arg(long=True)]
    slots: Annotated[int, cappa.Arg(long=True)]
    connections: Annotated[int, cappa.Arg(long=True)] = 360
    seed: Annotated[int, cappa.Arg(long=True)] = 0
    behaviour: Annotated[str, cappa.Arg(long=True)] = "{}"

    def __call__(self) -> int:
        """Serve until the process ends."""
        initial = behaviour.update(behaviour.Behaviour(), json.loads(self.behaviour))
        identity = server.Identity(
            self.name, self.service, self.version, self.slots, self.connections
        )
        trio.run(server.run_server, self.host, self.port, identity, initial, self.seed)
        return 0
