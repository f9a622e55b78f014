"""Shows the findings of the report that are not handed in as cases.

Run after the build: ``PYTHONPATH=review python3 review/findings.py``. It prints a line
for each finding and exits with 1 if any of them shows.
"""

import asyncio
import collections
import pathlib
from collections.abc import Awaitable, Callable

from standins import backend, case, client, deployment, record

_APPLY_S = 3.0
_REQUESTS = 20
_LARGE_BODY_BYTES = 20 << 20
_UPLOAD_BYTES = 20_000

Finding = Callable[[deployment.Deployment, record.Record], Awaitable[bool]]


async def _statuses(
    each: client.Client, method: str, target: str, body: bytes = b"", count: int = 1
) -> collections.Counter:
    answers = [await each.send(method, target, body, 10.0) for _ in range(count)]
    return collections.Counter(answer.status for answer in answers)


async def _added_route(fleet: deployment.Deployment, log: record.Record) -> bool:
    routes = [
        deployment.route("preview", "safe"),
        deployment.route("export", "safe", target_latency_s=10.0, timeout_s=20.0),
    ]
    fleet.store.put("op", "config", deployment.desired_state(4, routes))
    await asyncio.sleep(_APPLY_S)
    found = await _statuses(fleet.client(0), "GET", "/export/1", count=_REQUESTS)
    print("CONFIG, added route with a goal of 10 s:", dict(found))
    return found[200] < _REQUESTS / 4


async def _evacuated_upload(fleet: deployment.Deployment, log: record.Record) -> bool:
    each = fleet.client(0)
    before = await _statuses(each, "POST", "/order/1", bytes(_UPLOAD_BYTES), _REQUESTS)
    fleet.store.put("op", "evacuate/north-a", {})
    await asyncio.sleep(_APPLY_S)
    found = await _statuses(each, "POST", "/order/1", bytes(_UPLOAD_BYTES), _REQUESTS)
    print("20 kB before and during an evacuation:", dict(before), dict(found))
    return found[200] < _REQUESTS / 4


async def _impossible_port(fleet: deployment.Deployment, log: record.Record) -> bool:
    entry = {**fleet.backends[0].entry(), "address": "127.0.0.1:80800"}
    fleet.store.put("servers", "i-other", entry)
    await asyncio.sleep(_APPLY_S)
    found = await _statuses(fleet.client(0), "GET", "/preview/1", count=_REQUESTS)
    print("Starved, an entry with port 80800:", dict(found))
    return found[200] < _REQUESTS / 4


async def _large_body(fleet: deployment.Deployment, log: record.Record) -> bool:
    body = bytes(_LARGE_BODY_BYTES)
    found = await _statuses(fleet.client(0), "POST", "/order/1", body, 3)
    print("DENIED, 20 MiB with a limit of 64 MiB:", dict(found))
    return found[413] > 0


async def _empty_query(fleet: deployment.Deployment, log: record.Record) -> bool:
    await fleet.client(0).send("GET", "/preview/1?")
    targets = {target for each in fleet.backends for target in each.targets}
    print("UNASKED, /preview/1? reaches a backend as:", sorted(targets))
    return "/preview/1?" not in targets


async def _play(log: record.Record) -> bool:
    shown = False
    for finding in (
        _added_route,
        _evacuated_upload,
        _impossible_port,
        _large_body,
        _empty_query,
    ):
        fleet = deployment.Deployment(2, log)
        try:
            backends = [
                backend.Backend(
                    f"i-{index}",
                    deployment.SERVICE,
                    list(deployment.ZONES)[index % 2],
                    9,
                    27,
                    lambda target: 4.0 if target.startswith("/export/") else 0.05,
                    log,
                )
                for index in range(4)
            ]
            routes = [
                deployment.route("preview", "safe"),
                deployment.route("order", "unsafe", timeout_s=10.0),
            ]
            state = deployment.desired_state(2, routes)
            state["limits"]["max_body_bytes"] = 64 << 20
            await fleet.start(state, backends)
            shown |= await finding(fleet, log)
        finally:
            fleet.end()
    return not shown


if __name__ == "__main__":
    case.run(str(pathlib.Path(__file__).parent), _play)
