"""Real daemons on loopback: latency that the proxy adds, look-ups, idle cost."""

import contextlib
import pathlib
import random
import tempfile
from collections.abc import AsyncIterator, Mapping

import httpcore
import trio

from trial import clock, deployment, http_client, launcher, processes
from trial.capacity import daemon_process, registry, report

_SECONDS = 20.0
_REQUEST_RATE = 50
_LOOKUP_RATE = 350
_SERVICE_MS = 5.0
_SERVING_TIMEOUT_S = 30.0
_SEEDS = (1, 2, 3)


@contextlib.asynccontextmanager
async def _running(small: bool) -> AsyncIterator[tuple]:
    octet, reservation = launcher.reserve_octet()
    plan = deployment.DEPLOYMENTS["txiki"]
    if small:
        plan = deployment.small(plan)
    places = deployment.assign_places(plan, octet, not small)
    with reservation, tempfile.TemporaryDirectory(prefix="trial-") as name:
        directory = pathlib.Path(name)
        started = processes.Processes(directory)
        launch = launcher.Launcher(plan, places, started, directory, 1)
        try:
            await launch.start_stand_ins()
            await launch.start_daemons()
            await launch.apply_initial_rules()
            await launch.wait_serving(_SERVING_TIMEOUT_S)
            yield plan, places, started
        finally:
            started.end_all()


async def _send(host: str, port: int, path: str, rate: float, seed: int) -> list[float]:
    """Return latencies in seconds from the intended start, in rising order."""
    rng = random.Random(seed)
    latencies: list[float] = []
    url = httpcore.URL(scheme="http", host=host, port=port, target=path)

    async def send_one(pool: httpcore.AsyncConnectionPool, intended: float) -> None:
        headers = {"Host": f"{host}:{port}", "Request-Id": f"{seed}-{intended}"}
        response = await pool.request("GET", url, headers=headers)
        if response.status != 200:
            raise RuntimeError(f"{path} answered {response.status}")
        latencies.append(clock.now() - intended)

    async with httpcore.AsyncConnectionPool(max_connections=100) as pool:
        async with trio.open_nursery() as nursery:
            intended = clock.now() + 0.1
            end = intended + _SECONDS
            while intended < end:
                await trio.sleep(max(0.0, intended - clock.now()))
                nursery.start_soon(send_one, pool, intended)
                intended += rng.expovariate(rate)
    return sorted(latencies)


def _quantile(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(share * len(values)))]


async def _measure_requests() -> list[list]:
    rows = []
    async with _running(small=True) as (plan, places, started):
        service = plan.services[0]
        vm = places.vms[0]
        used = [each for each in places.upstreams if each.service == service.name]
        for each in used:
            await http_client.request(
                each.host,
                deployment.UPSTREAM_PORT,
                "POST",
                "/.control",
                {"service_ms": _SERVICE_MS, "spread": 0.0},
            )
        path = f"{service.open[2]}/1"
        for seed in _SEEDS:
            direct = await _send(
                used[0].host, deployment.UPSTREAM_PORT, path, _REQUEST_RATE, seed
            )
            before = daemon_process.read_use(started.pid(vm.vm))
            proxied = await _send(
                vm.host, deployment.VM_PORT, path, _REQUEST_RATE, seed
            )
            cpu = daemon_process.read_use(started.pid(vm.vm)).cpu - before.cpu
            row = [f"{_REQUEST_RATE} requests/s, seed {seed}"]
            for share in (0.5, 0.99):
                row.append(1000 * _quantile(direct, share))
                row.append(1000 * _quantile(proxied, share))
            rows.append([*row, 100 * cpu / _SECONDS])
        path = "/.rattanlug/lookup?client=127.0.0.1"
        for seed in _SEEDS:
            before = daemon_process.read_use(started.pid(vm.vm))
            found = await _send(vm.host, deployment.VM_PORT, path, _LOOKUP_RATE, seed)
            cpu = daemon_process.read_use(started.pid(vm.vm)).cpu - before.cpu
            quantiles = [1000 * _quantile(found, share) for share in (0.5, 0.99)]
            row = [f"{_LOOKUP_RATE} look-ups/s, seed {seed}", "", quantiles[0], ""]
            rows.append([*row, quantiles[1], 100 * cpu / _SECONDS])
    return rows


@registry.measurement("requests over HTTP")
def measure_requests(values: Mapping[str, float]) -> report.Report:
    """Latency of one daemon beside the same requests sent to the upstream."""
    rows = trio.run(_measure_requests)
    proxied = [row for row in rows if row[1] != ""]
    lookups = [row for row in rows if row[1] == ""]
    columns = ["load", "p50 direct, ms", "p50, ms", "p99 direct, ms", "p99, ms"]
    return report.Report(
        [*columns, "daemon, % of a core"],
        rows,
        {
            "proxy_added_p99_ms": max(row[4] - row[3] for row in proxied),
            "lookup_http_percent": max(row[5] for row in lookups),
        },
    )


async def _measure_idle() -> list[list]:
    async with _running(small=False) as (_, places, started):
        await trio.sleep(5)
        pids = [started.pid(each.vm) for each in places.vms]
        before = [daemon_process.read_use(pid) for pid in pids]
        await trio.sleep(_SECONDS)
        after = [daemon_process.read_use(pid) for pid in pids]
    shares = sorted(
        100 * (late.cpu - early.cpu) / _SECONDS
        for early, late in zip(before, after, strict=True)
    )
    memory = sorted(each.resident for each in after)
    return [
        [
            "processor time, % of a core",
            shares[0],
            shares[len(shares) // 2],
            shares[-1],
        ],
        ["resident memory, MB", memory[0], memory[len(memory) // 2], memory[-1]],
    ]


@registry.measurement("daemons without load")
def measure_idle(values: Mapping[str, float]) -> report.Report:
    """Cost of the periodic work of 12 daemons in six data centres."""
    rows = trio.run(_measure_idle)
    return report.Report(
        ["12 daemons, no requests", "least", "median", "most"],
        rows,
        {"idle_percent": rows[0][3], "resident_mb": rows[1][3]},
    )
