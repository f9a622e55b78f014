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
# By scenario: the fault of the new version and the disturbance of the steering VM.
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
        Name of a scenario, or ``choice`` or ``moves`` for all scenarios of the group.
    deployment
        txiki or nool.
    seeds
        Number of seeds, from 0 on.
    output
        Directory for the JSON and HTML files.
    workers
        Number of processes that run in parallel.
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
        variants = ("sequential", "fixed_steps") if name in MOVES else POLICIES
        # Results of the fixed steps vary little between seeds; 20 runs are enough.
        max_seeds = {"fixed_steps": min(self.seeds, 20)}
        jobs = [
            (name, self.deployment, variant, seed)
            for variant in variants
            for seed in range(max_seeds.get(variant, self.seeds))
        ]
        with concurrent.futures.ProcessPoolExecutor(self.workers) as pool:
            results = list(pool.map(run_job, jobs))
        runs = {
            variant: [
                run for job, run in zip(jobs, results, strict=True) if job[2] == variant
            ]
            for variant in variants
        }
        rows = {variant: table.summarise(items) for variant, items in runs.items()}
        first_columns = deployment.DEPLOYMENTS[self.deployment].first_columns
        if name in MOVES:
            first_columns = MOVE_ORDER
            worst = max(run["exposed"] for run in runs["sequential"])
            print(f"largest exposure: {worst:.4f}")
        directory = pathlib.Path(self.output)
        directory.mkdir(parents=True, exist_ok=True)
        title = f"{name} {self.deployment}, {self.seeds} seeds"
        stem = directory / f"{name}-{self.deployment}"
        stem.with_suffix(".json").write_text(json.dumps(runs, indent=1))
        charted_columns = MOVE_ORDER[:3] if name in MOVES else first_columns[:3]
        table.write_report(
            stem.with_suffix(".html"), title, rows, first_columns, charted_columns
        )
        print(f"{title}\n{table.render_text(rows, first_columns)}\n", flush=True)


def run_job(job: tuple[str, str, str, int]) -> dict[str, float]:
    """Run one scenario with one variant and one seed."""
    name, deployment_name, variant, seed = job
    if name in MOVES:
        fault, disturbance = MOVES[name]
        fixed = variant == "fixed_steps"
        return moves.MoveRun(deployment_name, fault, seed, disturbance, fixed).run()
    return scenarios.run(name, deployment.DEPLOYMENTS[deployment_name], variant, seed)


if __name__ == "__main__":
    cappa.invoke(Experiments)
