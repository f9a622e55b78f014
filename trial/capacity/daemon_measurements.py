"""Real daemons on loopback: latency added by the proxy, look-ups, idle cost."""

import contextlib
import pathlib
import random
import tempfile
from collections.abc import AsyncIterator, Mapping

import httpcore
import trio

from trial import clock, deployment, http_client, launcher, processes
from trial.capacity import daemon_process, registry, report

_DURATION_S = 20.0
_REQUESTS_PER_S = 50
_LOOKUPS_PER_S = 350
_SERVICE_MS = 5.0
_SERVING_TIMEOUT_S = 30.0
_SEEDS = (1, 2, 3)


@contextlib.asynccontextmanager
async def _running_deployment(small: bool) -> AsyncIterator[tuple]:
    octet, reservation = launcher.reserve_octet()
    plan = deployment.DEPLOYMENTS["txiki"]
    if small:
        plan = deployment.small(plan)
    places = deployment.assign_places(plan, octet, not small)
    with reservation, tempfile.TemporaryDirectory(prefix="trial-") as name:
        directory = pathlib.Path(name)
        running_processes = processes.Processes(directory)
        launch = launcher.Launcher(plan, places, running_processes, directory, 1)
        try:
            await launch.start_stand_ins()
            await launch.start_daemons()
            await launch.apply_initial_rules()
            await launch.wait_serving(_SERVING_TIMEOUT_S)
            yield plan, places, running_processes
        finally:
            running_processes.end_all()


async def _send(host: str, port: int, path: str, rate: float, seed: int) -> list[float]:
    """Return sorted latencies in seconds, counted from the intended start."""
    rng = random.Random(seed)
    latencies: list[float] = []
    url = httpcore.URL(scheme="http", host=host, port=port, target=path)

    async def send_one(pool: httpcore.AsyncConnectionPool, intended: float) -> None:
        headers = {"Host": f"{host}:{port}", "Request-Id": f"{seed}-{intended}"}
        response = await pool.request("GET", url, headers=headers)
        if response.status != 200:
            raise RuntimeError(f"{path} returned status {response.status}")
        latencies.append(clock.now() - intended)

    async with httpcore.AsyncConnectionPool(max_connections=100) as pool:
        async with trio.open_nursery() as nursery:
            intended = clock.now() + 0.1
            end = intended + _DURATION_S
            while intended < end:
                await trio.sleep(max(0.0, intended - clock.now()))
                nursery.start_soon(send_one, pool, intended)
                intended += rng.expovariate(rate)
    return sorted(latencies)


def _quantile(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(share * len(values)))]


async def _measure_requests() -> list[list]:
    rows = []
    async with _running_deployment(small=True) as (plan, places, running_processes):
        service = plan.services[0]
        vm = places.vms[0]
        upstreams = [
            upstream
            for upstream in places.upstreams
            if upstream.service == service.name
        ]
        for upstream in upstreams:
            await http_client.request(
                upstream.host,
                deployment.UPSTREAM_PORT,
                "POST",
                "/.control",
                {"service_ms": _SERVICE_MS, "spread": 0.0},
            )
        path = f"{service.open[2]}/1"
        for seed in _SEEDS:
            direct = await _send(
                upstreams[0].host, deployment.UPSTREAM_PORT, path, _REQUESTS_PER_S, seed
            )
            before = daemon_process.read_usage(running_processes.pid(vm.vm))
            proxied = await _send(
                vm.host, deployment.VM_PORT, path, _REQUESTS_PER_S, seed
            )
            cpu = (
                daemon_process.read_usage(running_processes.pid(vm.vm)).cpu_s
                - before.cpu_s
            )
            row = [f"{_REQUESTS_PER_S} requests/s, seed {seed}"]
            for share in (0.5, 0.99):
                row.append(1000 * _quantile(direct, share))
                row.append(1000 * _quantile(proxied, share))
            rows.append([*row, 100 * cpu / _DURATION_S])
        path = "/.rattanlug/lookup?client=127.0.0.1"
        for seed in _SEEDS:
            before = daemon_process.read_usage(running_processes.pid(vm.vm))
            latencies = await _send(
                vm.host, deployment.VM_PORT, path, _LOOKUPS_PER_S, seed
            )
            cpu = (
                daemon_process.read_usage(running_processes.pid(vm.vm)).cpu_s
                - before.cpu_s
            )
            quantiles = [1000 * _quantile(latencies, share) for share in (0.5, 0.99)]
            row = [f"{_LOOKUPS_PER_S} look-ups/s, seed {seed}", "", quantiles[0], ""]
            rows.append([*row, quantiles[1], 100 * cpu / _DURATION_S])
    return rows


@registry.measurement("requests over HTTP")
def measure_requests(values: Mapping[str, float]) -> report.Report:
    """Compare the latency through one daemon with that of the upstream itself."""
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
    async with _running_deployment(small=False) as (_, places, running_processes):
        await trio.sleep(5)
        pids = [running_processes.pid(vm.vm) for vm in places.vms]
        before = [daemon_process.read_usage(pid) for pid in pids]
        await trio.sleep(_DURATION_S)
        after = [daemon_process.read_usage(pid) for pid in pids]
    shares = sorted(
        100 * (end.cpu_s - start.cpu_s) / _DURATION_S
        for start, end in zip(before, after, strict=True)
    )
    memory = sorted(usage.resident_mb for usage in after)
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
    """Measure the periodic work of 12 daemons in six data centres."""
    rows = trio.run(_measure_idle)
    return report.Report(
        ["12 daemons, no requests", "least", "median", "most"],
        rows,
        {"idle_percent": rows[0][3], "resident_mb": rows[1][3]},
    )
