"""Steps that drain upstreams."""

import trio

from trial import clock, deployment, http_client
from trial.steps import context, registry

_WATCH_S = 4.0


@registry.step("drain an upstream by rule", at=0.25)
async def drain_by_rule(running: context.Context) -> str:
    """Add a drain rule; `checks.execution` later looks for work that still arrived."""
    name = _choose(running, 0)

    def edit(lines: list[str]) -> list[str]:
        line = f"drain upstream/{name}  # {deployment.OPERATOR}: maintenance"
        present = any(each.split()[:2] == line.split()[:2] for each in lines)
        return lines if present else [*lines, line]

    running.facts.leaving[name] = await running.change_rules(edit)
    await trio.sleep(_WATCH_S)
    return f"{name}, watched for {_WATCH_S:g} s and until the end"


@registry.step("drain an upstream by its own report", at=0.26)
async def drain_by_report(running: context.Context) -> str:
    """Make an upstream report that it drains."""
    name = _choose(running, 1)
    place = next(each for each in running.places.upstreams if each.name == name)
    reply = await http_client.request(
        place.host,
        deployment.UPSTREAM_PORT,
        "POST",
        "/.control",
        {"state": "draining"},
    )
    if reply.status != 200:
        raise context.StepError(f"{name} answered {reply.status}")
    running.facts.leaving[name] = clock.now()
    await trio.sleep(_WATCH_S)
    return f"{name}, watched for {_WATCH_S:g} s and until the end"


def _choose(running: context.Context, position: int) -> str:
    """Return an upstream of the second service, at least one of which must remain."""
    service = running.plan.services[1].name
    names = [each.name for each in running.places.upstreams if each.service == service]
    if len(names) < 3:
        raise context.StepError(f"too few upstreams of {service}")
    return names[position]
