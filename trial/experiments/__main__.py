"""Command ``python -m trial.experiments``."""

import concurrent.futures
import dataclasses
import json
import pathlib
from typing import Annotated

import cappa

from trial.experiments import deployment, moves, scenarios, table, version_faults

POLICIES = (
    "ideal",
    "earliest_answer",
    "round_robin",
    "least_in_flight",
    "two_choices",
    "lowest_latency",
)
# Name of the scenario, then the new version's fault and what hits the steering VM.
MOVES = {
    **{f"move_{name}": (name, "") for name in version_faults.FAULTS},
    "steering_killed": ("good", "kill"),
    "steering_paused": ("good", "pause"),
    "steering_killed_bad": ("bad_under_load", "kill"),
}
MOVE_ORDER = ("done", "seconds", "exposed", "within_1_percent", "late")


@dataclasses.dataclass
class Experiments:
    """Measure the decision code in virtual time.

    Parameters
    ----------
    scenario
        A scenario's name, ``choice`` or ``moves`` for all of a kind.
    deployment
        txiki or nool.
    seeds
        Number of seeds, from 0 on.
    output
        Directory for the JSON and HTML files.
    workers
        Processes that run at the same time.
    """

    scenario: str
    deployment: Annotated[str, cappa.Arg(long=True)] = "txiki"
    seeds: Annotated[int, cappa.Arg(long=True)] = 5
    output: Annotated[str, cappa.Arg(long=True)] = "build/experiments"
    workers: Annotated[int, cappa.Arg(long=True)] = 4

    def __call__(self) -> None:
        """Run the scenarios and write their reports."""
        groups = {"choice": list(scenarios.SCENARIOS), "moves": list(MOVES)}
        for name in groups.get(self.scenario, [self.scenario]):
            self._measure(name)

    def _measure(self, name: str) -> None:
        kinds = ("sequential", "fixed_steps") if name in MOVES else POLICIES
        # The fixed steps vary little, so fewer runs show what they do.
        limits = {"fixed_steps": min(self.seeds, 20)}
        jobs = [
            (name, self.deployment, kind, seed)
            for kind in kinds
            for seed in range(limits.get(kind, self.seeds))
        ]
        with concurrent.futures.ProcessPoolExecutor(self.workers) as pool:
            found = list(pool.map(run_job, jobs))
        runs = {
            kind: [run for job, run in zip(jobs, found, strict=True) if job[2] == kind]
            for kind in kinds
        }
        rows = {kind: table.summarise(items) for kind, items in runs.items()}
        first = deployment.DEPLOYMENTS[self.deployment].order
        if name in MOVES:
            first = MOVE_ORDER
            worst = max(run["exposed"] for run in runs["sequential"])
            print(f"largest exposure: {worst:.4f}")
        directory = pathlib.Path(self.output)
        directory.mkdir(parents=True, exist_ok=True)
        title = f"{name} {self.deployment}, {self.seeds} seeds"
        stem = directory / f"{name}-{self.deployment}"
        stem.with_suffix(".json").write_text(json.dumps(runs, indent=1))
        charted = MOVE_ORDER[:3] if name in MOVES else first[:3]
        table.write_report(stem.with_suffix(".html"), title, rows, first, charted)
        print(f"{title}\n{table.render_text(rows, first)}\n", flush=True)


def run_job(job: tuple[str, str, str, int]) -> dict[str, float]:
    """Run one scenario once."""
    name, place, kind, seed = job
    if name in MOVES:
        fault, disturbance = MOVES[name]
        fixed = kind == "fixed_steps"
        return moves.MoveRun(place, fault, seed, disturbance, fixed).run()
    return scenarios.run(name, deployment.DEPLOYMENTS[place], kind, seed)


if __name__ == "__main__":
    cappa.invoke(Experiments)
