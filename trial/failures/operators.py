"""Concurrent changes of the rules by several operators."""

import hashlib
import json
import random

import trio

from trial import deployment, http_client, launcher
from trial.failures import context, registry
from trial.steps import context as step_context

_ROUNDS = 4
_OPERATORS = 5
_PAUSE_S = 2.0
_CONFLICT = 409


@registry.failure("operators-race", order=3, seconds=24)
async def race(running: context.FailureContext, generator: random.Random) -> str:
    """Post different changes with the same expected version concurrently."""
    lost_count = 0
    for number in range(_ROUNDS):
        lost_count += await _race_once(running, generator, number)
        await trio.sleep(_PAUSE_S)
    return (
        f"{running.failure_facts.races} races with one winner, {lost_count} conflicts"
    )


async def _race_once(
    running: context.FailureContext, generator: random.Random, number: int
) -> int:
    faults = running.failure_facts.race_faults
    base = await running.launch.read_rules(running.live[0])
    version, lines = base["version"], base["rules"].splitlines()
    places = generator.sample(running.live, _OPERATORS)
    tag = f"{number}-{generator.randrange(10**6)}"
    authors = [f"operator-{tag}-{index}" for index in range(_OPERATORS)]
    responses: dict[str, tuple[int, dict]] = {}

    async def post(place: deployment.VmPlace, author: str) -> None:
        organisation = running.plan.organisations[authors.index(author)].name
        digest = hashlib.sha256(author.encode()).hexdigest()
        rule_line = f"key {organisation}/{author} digest={digest}  # {author}: race"
        data = {
            "expected_version": version,
            "rules": "\n".join([*lines, rule_line]) + "\n",
            "author": author,
        }
        try:
            response = await http_client.request(
                place.host,
                deployment.VM_PORT,
                "POST",
                "/.rattanlug/rules",
                data,
                headers=running.launch.operator_headers,
                timeout=10,
            )
            responses[author] = (response.status, json.loads(response.body))
        except (*http_client.FAILURES, ValueError) as exc:
            responses[author] = (0, {"detail": repr(exc)})

    running.record_event(f"{_OPERATORS} operators post version {version + 1}")
    async with trio.open_nursery() as nursery:
        for place, author in zip(places, authors, strict=True):
            nursery.start_soon(post, place, author)
    winners = [name for name, (status, _) in responses.items() if status == 200]
    losers = [name for name, (status, _) in responses.items() if status == _CONFLICT]
    for name in sorted(responses.keys() - set(winners) - set(losers)):
        running.record_event(f"{name} got the response {responses[name]}")
    if len(winners) > 1:
        faults.append(f"version {version}: {len(winners)} winners")
    elif not winners and len(losers) == _OPERATORS:
        faults.append(f"version {version}: every operator lost")
    stored = await _read_rules_since(running, version + 1)
    present = [name for name in authors if f"{name}: race" in stored["rules"]]
    if winners and present != winners:
        faults.append(f"{winners} won, but the rules have {present}")
    unrelated = [line for line in stored["rules"].splitlines() if ": race" not in line]
    if unrelated != [line for line in lines if ": race" not in line]:
        faults.append(f"version {stored['version']} changed other lines")
    if len(present) > 1:
        faults.append(f"version {stored['version']} has lines of {present}")
    for name in losers:
        response = responses[name][1]
        if winners and response.get("author") != winners[0]:
            faults.append(
                f"{name}: conflict names {response.get('author')!r}, not {winners[0]}"
            )
        elif winners and not any(winners[0] in each for each in response["changes"]):
            faults.append(f"{name}: conflict lacks the change of {winners[0]}")
    running.failure_facts.races += len(winners) == 1
    return len(losers)


async def _read_rules_since(running: context.FailureContext, version: int) -> dict:
    """Return rules of at least a version, else the first rules that a VM returned.

    Raises
    ------
    step_context.StepError
        No VM responded.
    """
    first_found = None
    for _ in range(100):
        for place in running.live:
            try:
                found = await running.launch.read_rules(place)
            except (launcher.LaunchError, *http_client.FAILURES):
                continue
            if found["version"] >= version:
                return found
            first_found = first_found or found
        await trio.sleep(0.05)
    if first_found is None:
        raise step_context.StepError("no VM responded with its rules")
    return first_found
