"""Runs the caller process."""

import dataclasses
import pathlib
from typing import Annotated

import cappa
import trio
from cattrs.preconf import json

from trial.caller import caller, settings


@cappa.command(name="caller", description="Send load and check every response.")
@dataclasses.dataclass
class Caller:
    """Arguments.

    Attributes
    ----------
    settings : str
        JSON file with the fields of `settings.CallerSettings`.
    output : str
        File for the `settings.CallerReport` as JSON.
    """

    settings: Annotated[str, cappa.Arg(long=True)]
    output: Annotated[str, cappa.Arg(long=True)]

    def __call__(self) -> int:
        """Send the whole load."""
        converter = json.make_converter()
        text = pathlib.Path(self.settings).read_text(encoding="utf-8")
        caller_settings = converter.loads(text, settings.CallerSettings)
        report = trio.run(caller.Caller(caller_settings).run)
        pathlib.Path(self.output).write_text(converter.dumps(report))
        return 0
