"""Moves a service to its next version."""

import datetime
from typing import Any

import trio

from trial import clock, deployment
from trial.checks import evidence
from trial.steps import context, registry

# Part of the load's length that the move may take.
_WINDOW = 0.95
# A move that is not done at its deadline is rolled back; the row follows shortly.
_GRACE_S = 3.0
_POLL_S = 0.2
_FINAL_STATES = ("done", "taken_back")


@registry.step("move a version", at=0.0)
async def move_version(running: context.Context) -> str:
    """Move the first service from v1 to v2 and wait for the final state."""
    service = running.plan.services[0].name
    name = f"{service}-v2"
    cap = 2 * running.rate
    window_s = _WINDOW * running.seconds
    until = datetime.datetime.now(datetime.UTC) + datetime.timedelta(seconds=window_s)
    deadline = clock.now() + window_s
    line = deployment.build_move_line(running.plan, until, cap)

    def edit(lines: list[str]) -> list[str]:
        present = any(each.split()[:2] == ["move", name] for each in lines)
        return lines if present else [*lines, line]

    accepted = await running.change_rules(edit)
    facts = evidence.MoveFacts(name, accepted, deadline, None, "none", "", cap)
    with trio.move_on_after(max(0.0, deadline + _GRACE_S - clock.now())):
        while facts.state not in _FINAL_STATES:
            row = await running.launch.read_row("moves", name)
            if row is not None:
                facts = _note_state(facts, row, clock.now() - accepted)
            await trio.sleep(_POLL_S)
    ended = clock.now()
    if facts.state not in _FINAL_STATES:
        running.facts.moves.append(facts)
        raise context.StepError(
            f"{name} is {facts.state!r} {_GRACE_S:g} s after its deadline"
        )
    running.facts.moves.append(facts._replace(ended=ended))
    text = f"{name} {facts.state} after {ended - accepted:.1f} s {facts.reason}"
    if facts.state != "done":
        raise context.StepError(f"a good version was rolled back: {text}")
    return text


def _note_state(
    facts: evidence.MoveFacts, row: dict[str, Any], seconds: float
) -> evidence.MoveFacts:
    """Return the facts with a state of the row and when it was first seen."""
    state, share = str(row["state"]), float(row.get("share") or 0)
    seen = f"{state} {share:g}"
    stages = facts.stages
    if not stages or stages[-1].partition(" at ")[0] != seen:
        stages = (*stages, f"{seen} at {seconds:.1f} s")
    return facts._replace(
        state=state, reason=str(row.get("reason") or ""), stages=stages
    )
