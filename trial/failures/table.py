"""The results of scenarios as text and as JSON data."""

import collections
import os
from typing import Any

from trial import report
from trial.failures import experiment

# Above these values, a run may have failed because the machine was overloaded.
_BUSY_LOAD_PER_CORE = 1.5
_BUSY_DELAY_S = 0.5


def as_data(scenario_result: experiment.ScenarioResult) -> dict[str, Any]:
    """Return JSON data of one scenario."""
    result = scenario_result.result
    data = report.as_data(result)
    outcomes = result.report.outcomes
    by_route = collections.defaultdict(collections.Counter)
    for each in outcomes:
        by_route[each.route_kind][each.result] += 1
    return {
        **data,
        "scenario": scenario_result.scenario.name,
        "seed": scenario_result.scenario.seed,
        "load_seconds": round(scenario_result.scenario.seconds, 1),
        "requests_by_route": {kind: dict(by_route[kind]) for kind in sorted(by_route)},
        "without_answer": [
            [
                round(each.sent - scenario_result.load_start, 2),
                round(each.ended - each.sent, 2),
                outcome.route,
                each.vm,
            ]
            for outcome in outcomes
            for each in outcome.attempts
            if each.kind == "timeout"
        ],
        "events": [
            [round(each.at - scenario_result.load_start, 2), each.text]
            for each in scenario_result.failure_facts.events
        ],
        "notes": scenario_result.failure_facts.notes,
        "machine_load": [round(each, 1) for each in scenario_result.machine_load],
        "busy_machine": is_busy(scenario_result),
    }


def is_busy(scenario_result: experiment.ScenarioResult) -> bool:
    """Return whether the machine was too busy for meaningful times."""
    cores = os.cpu_count() or 1
    highest = max(scenario_result.machine_load)
    delayed = scenario_result.result.report.late_s > _BUSY_DELAY_S
    return delayed or highest > _BUSY_LOAD_PER_CORE * cores


def as_row(scenario_result: experiment.ScenarioResult) -> str:
    """Return the text of one scenario: a summary line and indented details."""
    data = as_data(scenario_result)
    violated = {
        name: each for name, each in data["violations"].items() if each["count"]
    }
    total = sum(each["count"] for each in violated.values())
    requests = " ".join(f"{name}:{count}" for name, count in data["requests"].items())
    lines = [
        f"{data['scenario']} | seed {data['seed']} | load {data['load_seconds']:g} s | "
        f"{requests} | checks {len(data['violations'])}, violations {total} | "
        f"exit code {data['exit_code']}"
    ]
    events = "; ".join(f"{at:.1f} s {text}" for at, text in data["events"])
    lines.append(f"  failures: {events}")
    for kind, counts in data["requests_by_route"].items():
        cells = " ".join(f"{name}:{count}" for name, count in sorted(counts.items()))
        lines.append(f"  {kind}: {cells}")
    for each in data["steps"]:
        state = f"FAILED: {each['failure']}" if each["failure"] else each["seen"]
        lines.append(f"  {each['name']}: {state}")
    lines += [f"  {each}" for each in data["notes"]]
    for name, each in violated.items():
        lines.append(f"  {each['count']} x {name}, e.g. {'; '.join(each['examples'])}")
    counts = ", ".join(
        f"{name}: {each['count']}" for name, each in data["violations"].items()
    )
    lines.append(f"  checks: {counts}")
    lines += [f"  error: {each}" for each in data["errors"]]
    load = "/".join(f"{each:g}" for each in data["machine_load"])
    busy = ", machine busy" if data["busy_machine"] else ""
    lines.append(
        f"  load average {load}, largest send delay "
        f"{data['largest_send_delay_s']:g} s{busy}"
    )
    return "\n".join(lines)
