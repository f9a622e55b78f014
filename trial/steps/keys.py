"""The step that withdraws a key."""

import uuid

import trio

from trial import clock, deployment, http_client
from trial.caller import settings
from trial.steps import context, registry

_TIMEOUT_S = 15.0
_PROBE_INTERVAL_S = 0.2


@registry.step("withdraw a key", at=0.1)
async def withdraw_key(running: context.Context) -> str:
    """Withdraw the first organisation's old key; wait until all VMs reject it."""
    name = f"{running.plan.organisations[0].name}/old"

    def edit(lines: list[str]) -> list[str]:
        return [each for each in lines if each.split()[:2] != ["key", name]]

    for place in running.live:
        if (await _probe(running, place, name)).status == 401:
            raise context.StepError(f"{place.vm} refuses key {name} already")
    rejected_at: dict[str, float] = {}
    probing_done = trio.Event()

    async def probe_until_refused(place: deployment.VmPlace) -> None:
        while place.vm not in rejected_at:
            attempt = await _probe(running, place, name)
            if attempt.status == 401:
                rejected_at[place.vm] = attempt.sent
            await trio.sleep(_PROBE_INTERVAL_S)

    async def probe_all() -> None:
        with trio.move_on_after(_TIMEOUT_S):
            async with trio.open_nursery() as probes:
                for place in running.live:
                    probes.start_soon(probe_until_refused, place)
        probing_done.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(probe_all)
        accepted_at = await running.change_rules(edit)
        running.facts.withdrawn[name] = accepted_at
        await probing_done.wait()
    missing = {each.vm for each in running.live} - rejected_at.keys()
    if missing:
        raise context.StepError(f"{sorted(missing)} still accept the key")
    seconds = max(max(rejected_at.values()) - accepted_at, 0.0)
    running.facts.refused_everywhere_s = seconds
    return f"refused on every VM {seconds:.2f} s after acceptance"


async def _probe(
    running: context.Context, place: deployment.VmPlace, name: str
) -> settings.Attempt:
    _, method, path = running.plan.services[0].view
    request_id = f"{name.partition('/')[0]}.probe.{uuid.uuid4()}"
    sent = clock.now()
    status, ran, kind = 0, "", "cut"
    try:
        reply = await http_client.request(
            place.host,
            deployment.VM_PORT,
            method,
            f"{path}/probe",
            headers={
                "Authorization": f"Bearer {running.launch.keys[name]}",
                "Request-Id": request_id,
                "Trial-Attempt": request_id,
                "Request-Timeout": "1000",
            },
            timeout=1.5,
        )
        status, ran = reply.status, reply.headers.get("rattanlug-ran", "")
        kind = "" if status == 200 else f"status_{status}"
    except http_client.FAILURES as exc:
        kind = type(exc).__name__
    attempt = settings.Attempt(
        request_id, place.vm, sent, clock.now(), status, ran, kind, ""
    )
    running.facts.probes.append((name, attempt))
    return attempt
