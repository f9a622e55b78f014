"""Withdrawal of a key while VMs are restarted, paused or cut off."""

import random
import uuid

import trio

from trial import clock, deployment, http_client
from trial.caller import settings
from trial.failures import context, facts, registry

_WATCH_S = 9.0
_PROBE_INTERVAL_S = 0.25
_PAUSE_S = 8.0
_DOWN_S = 2.0


@registry.failure("key-withdrawn", order=2, seconds=24)
async def withdraw(running: context.FailureContext, generator: random.Random) -> str:
    """Withdraw a key with one VM down, one paused and one data centre cut off."""
    names = [name for name, _ in running.plan.data_centres]
    cut, other, third = generator.sample(names, 3)
    down = running.vms_in((other,))[0]
    frozen = running.vms_in((third,))[0]
    async with running.cut((cut,), facts.PLATFORM):
        await trio.sleep(1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_kill, running, down)
            nursery.start_soon(_pause, running, frozen)
            await trio.sleep(0.5)
            summary = await _withdraw(running)
    return f"{cut} without the store, {down.vm} down, {frozen.vm} paused; {summary}"


@registry.failure("key-withdrawn-cut-off", order=2, seconds=28)
async def withdraw_cut_off(
    running: context.FailureContext, generator: random.Random
) -> str:
    """Withdraw a key while a data centre is cut off from everything."""
    cut = generator.choice([name for name, _ in running.plan.data_centres])
    async with running.cut((cut,), facts.EVERYTHING):
        await trio.sleep(1)
        summary = await _withdraw(running)
        await trio.sleep(5)
    return f"{cut} cut off; {summary}"


async def _kill(running: context.FailureContext, place: deployment.VmPlace) -> None:
    async with running.killed(place):
        await trio.sleep(_DOWN_S)


async def _pause(running: context.FailureContext, place: deployment.VmPlace) -> None:
    async with running.paused(place):
        await trio.sleep(_PAUSE_S)


async def _withdraw(running: context.FailureContext) -> str:
    """Withdraw the first organisation's old key and probe every VM for 9 s."""
    name = f"{running.plan.organisations[0].name}/old"

    def edit(lines: list[str]) -> list[str]:
        return [each for each in lines if each.split()[:2] != ["key", name]]

    latest: dict[str, float] = {}
    async with trio.open_nursery() as nursery:
        since = await running.change_rules(edit)
        running.facts.withdrawn[name] = since
        running.record_event(f"withdrew {name}")
        for place in running.places.vms:
            nursery.start_soon(_probe, running, place, name, since + _WATCH_S, latest)
    if not latest:
        return "no VM served the key after the acceptance"
    vm, sent = max(latest.items(), key=lambda item: item[1])
    return f"last served {sent - since:.2f} s after the acceptance by {vm}"


async def _probe(
    running: context.FailureContext,
    place: deployment.VmPlace,
    name: str,
    until: float,
    latest: dict[str, float],
) -> None:
    _, method, path = running.plan.services[0].view
    organisation = name.partition("/")[0]
    while clock.now() < until:
        request_id = f"{organisation}.probe.{uuid.uuid4()}"
        sent, status, ran, kind = clock.now(), 0, "", "cut"
        try:
            response = await http_client.request(
                place.host,
                deployment.VM_PORT,
                method,
                f"{path}/probe",
                headers={
                    "Authorization": f"Bearer {running.launch.keys[name]}",
                    "Request-Id": request_id,
                    "Request-Timeout": "1000",
                },
                timeout=_WATCH_S,
            )
            status, ran = response.status, response.headers.get("rattanlug-ran", "")
            kind = "" if status == 200 else f"status_{status}"
        except http_client.FAILURES as exc:
            kind = type(exc).__name__
        ended = clock.now()
        attempt = settings.Attempt(
            request_id, place.vm, sent, ended, status, ran, kind, ""
        )
        running.facts.probes.append((name, attempt))
        if status == 200:
            latest[place.vm] = sent
        await trio.sleep(_PROBE_INTERVAL_S)
