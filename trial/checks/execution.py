"""Checks of executions on upstreams."""

import collections

from trial.checks import evidence, registry


@registry.check("operation ran more than once")
def find_repeated_executions(observed: evidence.Evidence) -> list[str]:
    """Return operations whose execution began more than once, over all upstreams."""
    runs: collections.Counter[str] = collections.Counter()
    for record in observed.records.values():
        runs.update(record["identities"])
    return [f"{name} ran {count} times" for name, count in runs.items() if count > 1]


@registry.check("answer says not run but it ran")
def find_executed_despite_not_run(observed: evidence.Evidence) -> list[str]:
    """Return attempts answered as not executed that an upstream executed."""
    ran = observed.executions()
    return [
        f"{attempt.request_id} at {attempt.vm}: {attempt.kind}"
        for _, attempt in observed.attempts()
        if attempt.ran == "no" and attempt.request_id in ran
    ]


@registry.check("request ran for another organisation")
def find_executions_for_other_organisation(observed: evidence.Evidence) -> list[str]:
    """Return executions for an organisation other than that of the request's key."""
    return [
        f"{request_id} ran for {organisation}"
        for record in observed.records.values()
        for _, _, request_id, _, organisation in record["executions"]
        if organisation and organisation != request_id.partition(".")[0]
    ]


@registry.check("answer says done but nothing ran")
def find_successes_without_execution(observed: evidence.Evidence) -> list[str]:
    """Return operations answered with success that no upstream executed."""
    ran = {
        name for record in observed.records.values() for name in record["identities"]
    }
    return [
        outcome.identity
        for outcome in observed.report.outcomes
        if outcome.identity and outcome.result == "ok" and outcome.identity not in ran
    ]


@registry.check("work sent to a leaving upstream after 3 s")
def find_work_after_drain(observed: evidence.Evidence) -> list[str]:
    """Return requests that arrived over 3 s after the first notice of a drain."""
    return [
        f"{name} {arrived - since:.2f} s after the drain notice"
        for name, since in observed.facts.leaving.items()
        for arrived in observed.records[name]["arrivals"]
        if arrived > since + 3
    ]


@registry.check("upstream above its slots")
def find_overloaded_upstreams(observed: evidence.Evidence) -> list[str]:
    """Return one entry for each request that arrived with all slots in use."""
    return [
        f"{name}: {record['most_in_flight']} in flight with {record['slots']} slots"
        for name, record in observed.records.items()
        for _ in range(record["over_slots"])
    ]
