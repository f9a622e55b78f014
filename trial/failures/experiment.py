"""Runs a scenario in a new deployment."""

import os
import pathlib
import random
import tempfile
from typing import Any, NamedTuple

import trio

from trial import launcher, options, report, session
from trial.checks import evidence
from trial.failures import (
    checks,
    context,
    cuts,
    facts,
    keys,
    moves,
    operators,
    platform,
    registry,
    scenario,
    upstreams,
    vms,
)
from trial.steps import registry as step_registry

# Importing these modules fills the registry.
_REGISTERED = (cuts, keys, moves, operators, platform, upstreams, vms)


class ScenarioResult(NamedTuple):
    """The result of a scenario.

    Attributes
    ----------
    scenario : scenario.Scenario
    result : report.Result
    failure_facts : facts.FailureFacts
    load_start : float
        On `clock.now`, seconds.
    machine_load : tuple of float
        Load average over one minute at the start and at the end.
    """

    scenario: scenario.Scenario
    result: report.Result
    failure_facts: facts.FailureFacts
    load_start: float
    machine_load: tuple[float, float]


class Experiment(session.Session):
    """A trial whose steps are the failures of a scenario.

    Parameters
    ----------
    trial_options : options.Options
    planned : scenario.Scenario
    octet : int
        Second octet of the loopback addresses.
    directory : pathlib.Path
    """

    def __init__(
        self,
        trial_options: options.Options,
        planned: scenario.Scenario,
        octet: int,
        directory: pathlib.Path,
    ):
        super().__init__(trial_options, octet, directory)
        self._planned = planned
        self._context = context.FailureContext(
            self._plan,
            self._places,
            self._launch,
            self._processes,
            self._facts,
            trial_options.seconds,
            trial_options.rate,
            directory=directory,
        )

    @property
    def failure_facts(self) -> facts.FailureFacts:
        """Facts about the injected failures."""
        return self._context.failure_facts

    def _choose_steps(
        self,
    ) -> tuple[list[step_registry.Step], list[step_registry.Step]]:
        steps = []
        sequence_lock = trio.Lock()
        repeated = len({each.failure.name for each in self._planned.starts}) == 1
        for index, start in enumerate(self._planned.starts):
            # Trio's locks are fair: the failure that is scheduled first begins first.
            lock = sequence_lock if repeated else trio.Lock()
            at = (start.at + index * 0.01) / self._planned.seconds
            action = self._inject(start.failure, index, lock)
            steps.append(step_registry.Step(start.failure.name, at, 0, action))
        return steps, []

    def _inject(
        self, failure: registry.Failure, index: int, lock: trio.Lock
    ) -> step_registry.Action:
        seed = f"{self._planned.seed} {self._planned.name} {index}"

        async def action(running: context.FailureContext) -> str:
            async with lock:
                return await failure.action(running, random.Random(seed))

        return action

    async def _collect(self) -> dict[str, dict[str, Any]]:
        records = await super()._collect()
        for name, earlier in self._context.upstream_records.items():
            for each in earlier:
                records[name] = merge_records(records[name], each)
        return records

    def _check(self, run_evidence: evidence.Evidence) -> dict[str, Any]:
        self.failure_facts.notes += checks.describe_bad_versions(
            run_evidence, self.failure_facts
        )
        return super()._check(run_evidence) | checks.run_checks(
            run_evidence, self.failure_facts
        )


def merge_records(first: dict[str, Any], second: dict[str, Any]) -> dict[str, Any]:
    """Merge the records of two successive processes of an upstream."""
    merged = {"slots": first["slots"]}
    merged["most_in_flight"] = max(first["most_in_flight"], second["most_in_flight"])
    merged["over_slots"] = first["over_slots"] + second["over_slots"]
    for name in ("outcomes", "identities"):
        counted = first[name].keys() | second[name].keys()
        merged[name] = {
            key: first[name].get(key, 0) + second[name].get(key, 0) for key in counted
        }
    for name in ("arrivals", "executions", "received", "faulty"):
        merged[name] = first[name] + second[name]
    return merged


def run_scenario(
    deployment_name: str, planned: scenario.Scenario, rate: float
) -> ScenarioResult:
    """Run a scenario in a new deployment.

    Raises
    ------
    launcher.LaunchError
        The deployment did not start.
    KeyboardInterrupt
    """
    trial_options = options.Options(
        deployment=deployment_name,
        seconds=planned.seconds,
        rate=rate,
        seed=planned.seed,
    )
    load_before = os.getloadavg()[0]
    octet, reservation = launcher.reserve_octet()
    with reservation, tempfile.TemporaryDirectory(prefix="failures-") as name:
        experiment = Experiment(trial_options, planned, octet, pathlib.Path(name))
        result = experiment.run()
    if result is None:
        raise KeyboardInterrupt
    start = min((each.intended for each in result.report.outcomes), default=0.0)
    machine_load = (load_before, os.getloadavg()[0])
    return ScenarioResult(
        planned, result, experiment.failure_facts, start, machine_load
    )
