"""Runs deployments with injected failures."""

import dataclasses
import json
import pathlib
import sys
from typing import Annotated

import cappa

from trial import deployment, launcher
from trial.failures import experiment, scenario, table

_NAMES = sorted(deployment.DEPLOYMENTS)


@cappa.command(name="failures", description="Inject failures under load.")
@dataclasses.dataclass
class Failures:
    """Arguments.

    Attributes
    ----------
    scenario : str
        A failure, ``a+b`` for two that overlap, ``a*2`` for the same one twice in a
        row, or a group: ``singles``, ``pairs``, ``twice``, ``all``.
    deployment : str
    seed : int
        For the load, the times and choices of the failures, and the pairs.
    seconds : float
        Length of the load; 0 means as long as the failures take.
    rate : float
        Requests/s over all callers.
    json : str
        File for the results as JSON, or empty.
    """

    scenario: str
    deployment: Annotated[str, cappa.Arg(long=True, choices=_NAMES)] = "txiki"
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    seconds: Annotated[float, cappa.Arg(long=True)] = 0.0
    rate: Annotated[float, cappa.Arg(long=True)] = 60.0
    json: Annotated[str, cappa.Arg(long=True)] = ""

    def __call__(self) -> int:
        """Run the scenario or all scenarios of the group, one after the other."""
        names = scenario.choose_names(self.scenario, self.seed)
        try:
            planned = [
                scenario.plan_scenario(name, self.seed, self.seconds or None)
                for name in names
            ]
        except ValueError as exc:
            print(exc, file=sys.stderr)
            return 2
        failed = 0
        results = []
        for each in planned:
            scenario_result = None
            try:
                scenario_result = experiment.run_scenario(
                    self.deployment, each, self.rate
                )
            except* launcher.LaunchError as group:
                print(f"{each.name} | seed {each.seed} | not run: {group!r}")
            if scenario_result is None:
                failed += 1
                continue
            print(table.as_row(scenario_result), flush=True)
            results.append(table.as_data(scenario_result))
            failed += scenario_result.result.exit_code != 0
            if self.json:
                pathlib.Path(self.json).write_text(json.dumps(results, indent=1))
        print(f"{len(planned)} scenarios, {failed} failed")
        return 1 if failed else 0
