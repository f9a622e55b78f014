"""Moves to good and to bad versions."""

import contextlib
import datetime
import random
from typing import Any

import trio

from trial import clock, deployment, http_client
from trial.checks import evidence
from trial.failures import context, facts, registry
from trial.steps import context as step_context

_GRACE_S = 5.0
_POLL_S = 0.1
_FINAL_STATES = ("done", "taken_back")
# How long requests to a bad version are watched after its rollback.
_WATCH_S = 7.0


async def start_move(
    running: context.FailureContext, window_s: float
) -> tuple[str, float]:
    """Start a move of the first service to v2; return its name and deadline."""
    name = f"{running.plan.services[0].name}-v2"
    cap = 2 * running.rate
    until = datetime.datetime.now(datetime.UTC) + datetime.timedelta(seconds=window_s)
    deadline = clock.now() + window_s
    rule_line = deployment.build_move_line(running.plan, until, cap)

    def edit(lines: list[str]) -> list[str]:
        present = any(each.split()[:2] == ["move", name] for each in lines)
        return lines if present else [*lines, rule_line]

    accepted = await running.change_rules(edit)
    running.record_event(f"move {name}")
    running.facts.moves.append(
        evidence.MoveFacts(name, accepted, deadline, None, "none", "", cap)
    )
    return name, deadline


async def wait_final(
    running: context.FailureContext, name: str, deadline: float, *, good: bool = True
) -> str:
    """Wait for a move's final state; record late moves and unexpected states."""
    index = next(
        index for index, each in enumerate(running.facts.moves) if each.name == name
    )
    move = running.facts.moves[index]
    with trio.move_on_after(max(0.0, deadline + _GRACE_S - clock.now())):
        while move.state not in _FINAL_STATES:
            row = None
            with contextlib.suppress(*http_client.FAILURES):
                row = await running.launch.read_row("moves", name)
            if row is not None:
                reason = str(row.get("reason") or "")
                move = move._replace(state=str(row["state"]), reason=reason)
            await trio.sleep(_POLL_S)
    text = f"{move.state} {move.reason}".strip()
    if move.state in _FINAL_STATES:
        move = move._replace(ended=running.record_event(f"move {text}"))
        if good and move.state != "done":
            running.failure_facts.false_rollbacks.append(f"{name}: {text}")
        elif not good and move.state == "done":
            running.failure_facts.completed_bad_moves.append(name)
    else:
        running.failure_facts.unbounded_moves.append(f"{name}: {text}")
    running.facts.moves[index] = move
    return text


async def _run_bad_version(
    running: context.FailureContext,
    generator: random.Random,
    behaviour: dict[str, Any],
    *,
    path: str = "",
    kill: bool = False,
) -> str:
    """Move to a bad version; optionally kill the steering VM during the move."""
    service = running.plan.services[0]
    for place in running.places.upstreams:
        if place.service == service.name and place.version == "v2":
            await running.control_upstream(place, **behaviour)
    name, deadline = await start_move(running, 40)
    accepted = running.facts.moves[-1].accepted
    summary = ""
    async with trio.open_nursery() as nursery:
        if kill:
            nursery.start_soon(_kill_steering_vm, running, generator)
        summary = await wait_final(running, name, deadline, good=False)
    move = next(each for each in running.facts.moves if each.name == name)
    running.failure_facts.bad_versions.append(
        facts.BadVersion(name, accepted, move.ended, path)
    )
    await trio.sleep(_WATCH_S)
    return f"{name} {summary}"


async def _kill_steering_vm(
    running: context.FailureContext, generator: random.Random
) -> None:
    await trio.sleep(generator.uniform(2, 9))
    try:
        place = await running.find_steering_vm()
    except (step_context.StepError, *http_client.FAILURES):
        return
    async with running.killed(place):
        await trio.sleep(generator.uniform(1, 6))


def _register(name: str, behaviour: dict[str, Any], one_route: bool = False) -> None:
    for kill in (False, True):
        full_name = f"bad-{name}{'-kill' if kill else ''}"

        @registry.failure(full_name, order=4, seconds=50)
        async def run(
            running: context.FailureContext,
            generator: random.Random,
            kill: bool = kill,
        ) -> str:
            path = running.plan.services[0].view[2] if one_route else ""
            route_behaviour = {**behaviour, "fault_route": path}
            return await _run_bad_version(
                running, generator, route_behaviour, path=path, kill=kill
            )


_register("errors", {"fault": "errors"})
_register("slow", {"fault": "slow", "slow_factor": 20.0})
_register("later", {"fault": "errors", "fault_after_s": 15.0})
_register("under-load", {"fault": "errors", "fault_min_in_flight": 2})
_register("one-route", {"fault": "errors"}, one_route=True)
