"""The result of a trial as text and as JSON data."""

import collections
from typing import Any, NamedTuple

from hdrh import histogram

from trial.caller import settings
from trial.checks import evidence, registry

_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS = 1, 60_000_000, 3
_PERCENTILES = (50, 99, 99.9)


class StepResult(NamedTuple):
    """Summary of a step and its failure, which is empty if it was carried out."""

    name: str
    seen: str
    failure: str


class Result(NamedTuple):
    """The result of a trial.

    Attributes
    ----------
    title : str
    report : settings.CallerReport
    facts : evidence.Facts
    violations : dict
    steps : list of StepResult
    errors : list of str
        Errors other than failed steps and violations.
    seconds : float
        Length of the whole trial.
    """

    title: str
    report: settings.CallerReport
    facts: evidence.Facts
    violations: dict[str, registry.Violation]
    steps: list[StepResult]
    errors: list[str]
    seconds: float

    @property
    def exit_code(self) -> int:
        """0 without violations, errors and failed steps, else 1."""
        failed = self.errors or any(each.failure for each in self.steps)
        violated = any(each.count for each in self.violations.values())
        return 1 if failed or violated else 0


def measure_latency(outcomes: list[settings.Outcome]) -> dict[str, float]:
    """Return percentiles in ms of the time from the planned start to the end."""
    latencies = histogram.HdrHistogram(_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS)
    for each in outcomes:
        latencies.record_value(int((each.ended - each.intended) * 1e6))
    if not outcomes:
        return {}
    return {
        f"p{each:g}": latencies.get_value_at_percentile(each) / 1000
        for each in _PERCENTILES
    }


def as_data(result: Result) -> dict[str, Any]:
    """Return a result as JSON data."""
    outcomes = result.report.outcomes
    answered = [each for each in outcomes if each.result == "ok"]
    kinds = sorted({each.route_kind for each in outcomes})
    attempts = collections.Counter(
        attempt.kind or "ok" for each in outcomes for attempt in each.attempts
    )
    organisations = sorted({each.organisation for each in outcomes})
    return {
        "title": result.title,
        "exit_code": result.exit_code,
        "seconds": round(result.seconds, 1),
        "requests": dict(collections.Counter(each.result for each in outcomes)),
        "attempts": dict(attempts),
        "success_by_organisation": {
            name or "open": _success_share(
                [each for each in outcomes if each.organisation == name]
            )
            for name in organisations
        },
        "latency_ms": {
            "all answered": measure_latency(answered),
            **{
                kind: measure_latency(
                    [each for each in answered if each.route_kind == kind]
                )
                for kind in kinds
            },
        },
        "lookups": result.report.lookups,
        "failed_lookups": result.report.failed_lookups,
        "largest_send_delay_s": round(result.report.late_s, 4),
        "refused_everywhere_s": result.facts.refused_everywhere_s,
        "in_force_s": [
            {"version": version, "seconds": round(seconds, 3)}
            for version, seconds in result.facts.in_force_s
        ],
        "moves": [each._asdict() for each in result.facts.moves],
        "steps": [each._asdict() for each in result.steps],
        "violations": {
            name: each._asdict() for name, each in result.violations.items()
        },
        "errors": result.errors,
    }


def _success_share(outcomes: list[settings.Outcome]) -> float:
    return round(sum(each.result == "ok" for each in outcomes) / len(outcomes), 4)


def as_text(result: Result) -> str:
    """Return a result as text for the terminal."""
    data = as_data(result)
    lines = [f"{result.title}, {data['seconds']} s", "", "requests by result"]
    lines += [f"  {count:6}  {name}" for name, count in data["requests"].items()]
    lines += ["", "attempts"]
    lines += [f"  {count:6}  {name}" for name, count in data["attempts"].items()]
    lines += ["", "success by organisation"]
    lines += [
        f"  {share:6.3f}  {name}"
        for name, share in data["success_by_organisation"].items()
    ]
    lines += ["", "latency from the intended start, ms"]
    for name, values in data["latency_ms"].items():
        cells = "  ".join(f"{key} {value:8.1f}" for key, value in values.items())
        lines.append(f"  {name:13} {cells}")
    lines += ["", "steps"]
    for each in result.steps:
        state = f"FAILED: {each.failure}" if each.failure else each.seen
        lines.append(f"  {each.name}: {state}")
    lines += ["", "moves"]
    lines += [
        f"  {each.name}: {each.state} {each.reason}, {'; '.join(each.stages)}"
        for each in result.facts.moves
    ]
    lines += ["", "violations"]
    for name, each in result.violations.items():
        examples = f"  e.g. {'; '.join(each.examples)}" if each.examples else ""
        lines.append(f"  {each.count:6}  {name}{examples}")
    lines += [f"error: {each}" for each in result.errors]
    lines.append(f"exit code {result.exit_code}")
    return "\n".join(lines)
