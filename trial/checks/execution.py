"""Checks of what ran."""

import collections

from trial.checks import evidence, registry


@registry.check("operation ran more than once")
def find_double_runs(found: evidence.Evidence) -> list[str]:
    """Return operations that began to run more than once on any upstream."""
    runs: collections.Counter[str] = collections.Counter()
    for record in found.records.values():
        runs.update(record["identities"])
    return [f"{name} ran {count} times" for name, count in runs.items() if count > 1]


@registry.check("answer says not run but it ran")
def find_false_not_run(found: evidence.Evidence) -> list[str]:
    """Return attempts that were answered "not run" although an upstream ran them."""
    ran = found.executions()
    return [
        f"{attempt.request_id} at {attempt.vm}: {attempt.kind}"
        for _, attempt in found.attempts()
        if attempt.ran == "no" and attempt.request_id in ran
    ]


@registry.check("request ran for another organisation")
def find_foreign_runs(found: evidence.Evidence) -> list[str]:
    """Return executions for an organisation whose key did not come with the request."""
    return [
        f"{request_id} ran for {organisation}"
        for record in found.records.values()
        for _, _, request_id, _, organisation in record["executions"]
        if organisation and organisation != request_id.partition(".")[0]
    ]


@registry.check("answer says done but nothing ran")
def find_answers_without_run(found: evidence.Evidence) -> list[str]:
    """Return operations answered with success that no upstream began to run."""
    ran = {name for record in found.records.values() for name in record["identities"]}
    return [
        outcome.identity
        for outcome in found.report.outcomes
        if outcome.identity and outcome.result == "ok" and outcome.identity not in ran
    ]


@registry.check("work sent to a leaving upstream after 3 s")
def find_late_work(found: evidence.Evidence) -> list[str]:
    """Return requests that reached an upstream 3 s after the first sign to leave."""
    return [
        f"{name} {arrived - since:.2f} s after the first sign"
        for name, since in found.facts.leaving.items()
        for arrived in found.records[name]["arrivals"]
        if arrived > since + 3
    ]


@registry.check("upstream above its slots")
def find_full_upstreams(found: evidence.Evidence) -> list[str]:
    """Return one entry for each request that arrived while every slot was taken."""
    return [
        f"{name}: {record['most_in_flight']} in flight with {record['slots']} slots"
        for name, record in found.records.items()
        for _ in range(record["over_slots"])
    ]
