"""Another writer's entry, which can't be read, must not end any daemon."""

import asyncio
import pathlib
import random

from standins import backend, case, client, deployment, record

_DAEMONS = 3
_CLIENTS = 12
_SEED = 1
_ENTRY_AT_S = 5.0
_LENGTH_S = 30.0
# The platform restarts a process that has ended after a short delay.
_RESTART_S = 1.0
# JSON that is nested too deeply to be read: 4,000 bytes, of 65,536 allowed.
_ENTRY = b"[" * 2000 + b"]" * 2000
# RULES.md, Fault: on a tenth of the machines, two at least, three ends in the day.
_MAX_MACHINES = 2
_MAX_ENDS = 3


async def _view(each: client.Client, ends_at: float, log: record.Record) -> list[int]:
    statuses = []
    while log.now() < ends_at:
        answer = await each.send("GET", "/preview/1")
        statuses.append(answer.status)
        await asyncio.sleep(random.uniform(0.1, 0.3))
    await each.close()
    return statuses


async def _supervise(fleet: deployment.Deployment, ends: dict[str, int]) -> None:
    """Restart each daemon that has ended, as the platform does."""
    while True:
        for host in fleet.hosts:
            code = fleet.exit_code(host)
            if code is not None:
                ends[host] += 1
                fleet.log.write("ended", daemon=host, exit_code=code)
                lines = fleet.output(host).strip().splitlines()
                fleet.log.write("last line", daemon=host, text=lines[-1][:200])
                await asyncio.sleep(_RESTART_S)
                fleet.start_daemon(host)
        await asyncio.sleep(0.1)


async def _play(log: record.Record) -> bool:
    random.seed(_SEED)
    fleet = deployment.Deployment(_DAEMONS, log)
    try:
        zones = list(deployment.ZONES)
        backends = [
            backend.Backend(
                f"i-{index}",
                deployment.SERVICE,
                zones[index % 2],
                5,
                15,
                lambda target: random.uniform(0.04, 0.08),
                log,
            )
            for index in range(4)
        ]
        routes = [deployment.route("preview", "safe")]
        await fleet.start(deployment.desired_state(2, routes), backends)
        began = log.now()
        ends = dict.fromkeys(fleet.hosts, 0)
        supervisor = asyncio.create_task(_supervise(fleet, ends))
        views = [
            asyncio.create_task(_view(fleet.client(index), began + _LENGTH_S, log))
            for index in range(_CLIENTS)
        ]
        await asyncio.sleep(_ENTRY_AT_S)
        if case.has_trouble():
            fleet.store.put("servers", "i-other", _ENTRY)
            log.write("entry", key="i-other", bytes=len(_ENTRY))
        statuses = [each for view in views for each in await view]
        supervisor.cancel()
        served = sum(each == 200 for each in statuses)
        print(f"{served} of {len(statuses)} requests served; ends: {ends}")
        machines = sum(each >= _MAX_ENDS for each in ends.values())
        return machines < _MAX_MACHINES
    finally:
        fleet.end()


if __name__ == "__main__":
    case.run(str(pathlib.Path(__file__).parent), _play)
