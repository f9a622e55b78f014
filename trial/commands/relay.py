"""Runs the relay of a data centre."""

import dataclasses
import pathlib
from typing import Annotated

import cappa
import trio
from cattrs.preconf import json

from trial.relay import plan, server


@cappa.command(name="relay", description="Run the relay of a data centre.")
@dataclasses.dataclass
class Relay:
    """Arguments.

    Attributes
    ----------
    settings : str
        JSON file with the fields of `plan.RelayPlan`.
    """

    settings: Annotated[str, cappa.Arg(long=True)]

    def __call__(self) -> int:
        """Serve until the process ends."""
        text = pathlib.Path(self.settings).read_text(encoding="utf-8")
        settings = json.make_converter().loads(text, plan.RelayPlan)
        trio.run(server.run_server, settings)
        return 0
