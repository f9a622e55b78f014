"""Operators that change rules at the same moment."""

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
async def race(running: context.FailureContext, source: random.Random) -> str:
    """Several operators post different changes with the same expected version."""
    losers = 0
    for number in range(_ROUNDS):
        losers += await _race_once(running, source, number)
        await trio.sleep(_PAUSE_S)
    return f"{running.failures.races} races with one winner, {losers} losers told"


async def _race_once(
    running: context.FailureContext, source: random.Random, number: int
) -> int:
    faults = running.failures.race_faults
    base = await running.launch.read_rules(running.live[0])
    version, lines = base["version"], base["rules"].splitlines()
    places = source.sample(running.live, _OPERATORS)
    tag = f"{number}-{source.randrange(10**6)}"
    authors = [f"operator-{tag}-{index}" for index in range(_OPERATORS)]
    answers: dict[str, tuple[int, dict]] = {}

    async def post(place: deployment.VmPlace, author: str) -> None:
        organisation = running.plan.organisations[authors.index(author)].name
        digest = hashlib.sha256(author.encode()).hexdigest()
        own = f"key {organisation}/{author} digest={digest}  # {author}: race"
        data = {
            "expected_version": version,
            "rules": "\n".join([*lines, own]) + "\n",
            "author": author,
        }
        try:
            reply = await http_client.request(
                place.host,
                deployment.VM_PORT,
                "POST",
                "/.rattanlug/rules",
                data,
                headers=running.launch.operator_headers,
                timeout=10,
            )
            answers[author] = (reply.status, json.loads(reply.body))
        except (*http_client.FAILURES, ValueError) as exc:
            answers[author] = (0, {"detail": repr(exc)})

    running.note(f"{_OPERATORS} operators post version {version + 1}")
    async with trio.open_nursery() as nursery:
        for place, author in zip(places, authors, strict=True):
            nursery.start_soon(post, place, author)
    winners = [name for name, (status, _) in answers.items() if status == 200]
    lost = [name for name, (status, _) in answers.items() if status == _CONFLICT]
    for name in sorted(answers.keys() - set(winners) - set(lost)):
        running.note(f"{name} was answered {answers[name]}")
    if len(winners) > 1:
        faults.append(f"version {version}: {len(winners)} winners")
    elif not winners and len(lost) == _OPERATORS:
        faults.append(f"version {version}: every operator lost")
    stored = await _read_newest(running, version + 1)
    present = [name for name in authors if f"{name}: race" in stored["rules"]]
    if winners and present != winners:
        faults.append(f"{winners} won, but the rules have {present}")
    kept = [line for line in stored["rules"].splitlines() if ": race" not in line]
    if kept != [line for line in lines if ": race" not in line]:
        faults.append(f"version {stored['version']} changed other lines")
    if len(present) > 1:
        faults.append(f"version {stored['version']} has lines of {present}")
    for name in lost:
        told = answers[name][1]
        if winners and told.get("author") != winners[0]:
            faults.append(f"{name} was told {told.get('author')!r}, not {winners[0]}")
        elif winners and not any(winners[0] in each for each in told["changes"]):
            faults.append(f"{name} was not told the change of {winners[0]}")
    running.failures.races += len(winners) == 1
    return len(lost)


async def _read_newest(running: context.FailureContext, version: int) -> dict:
    """Return the first rules of at least a version that any VM has in force."""
    newest = None
    for _ in range(100):
        for place in running.live:
            try:
                found = await running.launch.read_rules(place)
            except (launcher.LaunchError, *http_client.FAILURES):
                continue
            if found["version"] >= version:
                return found
            newest = newest or found
        await trio.sleep(0.05)
    if newest is None:
        raise step_context.StepError("no VM answers with its rules")
    return newest
