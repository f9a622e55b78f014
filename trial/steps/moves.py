"""The step that rolls out a new version of a service."""

import datetime
from typing import Any

import trio

from trial import clock, deployment
from trial.checks import evidence
from trial.steps import context, registry

# Deadline of the rollout, as a fraction of the load's duration.
_DEADLINE_FRACTION = 0.95
# Time for the rollback of a rollout that missed its deadline to appear in the row.
_GRACE_S = 3.0
_POLL_S = 0.2
_FINAL_STATES = ("done", "taken_back")


@registry.step("move a version", at=0.0)
async def move_version(running: context.Context) -> str:
    """Roll out v2 of the first service and wait for the final state."""
    service = running.plan.services[0].name
    name = f"{service}-v2"
    cap = 2 * running.rate
    window_s = _DEADLINE_FRACTION * running.seconds
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
                facts = _record_state(facts, row, clock.now() - accepted)
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


def _record_state(
    facts: evidence.MoveFacts, row: dict[str, Any], seconds: float
) -> evidence.MoveFacts:
    """Return the facts with the state of the row and the time of each new stage."""
    state, share = str(row["state"]), float(row.get("share") or 0)
    stage = f"{state} {share:g}"
    stages = facts.stages
    if not stages or stages[-1].partition(" at ")[0] != stage:
        stages = (*stages, f"{stage} at {seconds:.1f} s")
    return facts._replace(
        state=state, reason=str(row.get("reason") or ""), stages=stages
    )
