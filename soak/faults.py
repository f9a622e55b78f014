"""Injected faults and changes made by operators."""

import contextlib
import random
import signal
from collections.abc import Awaitable, Callable

import trio

from soak import deployment as deployment_module
from soak import history, proxy
from trial.shared_platform import fleet

Fault = Callable[[deployment_module.Deployment, random.Random], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
# Longer than a VM may take to react to a signal, shorter than a run.
_MAX_FAULT_SECONDS = 4.0
# Callers that connect to one VM at once: more than it serves in a second.
_BURST_CALLERS = 300
# Age of the copy from which the store comes back.
_MAX_COPY_SECONDS = 6.0
_MAX_AWAY_SECONDS = 1.0
# Operators and upstreams write again within this time.
_MAX_REWRITE_SECONDS = 1.5
# Such a caller disconnects within this time after its request.
_MAX_CONNECTION_SECONDS = 0.2


def fault(function: Fault) -> Fault:
    """Register a fault under the name of its function."""
    FAULTS[function.__name__] = function
    return function


def _stoppable_vms(
    deployed: deployment_module.Deployment,
) -> list[deployment_module.Vm]:
    """Return the VMs that may be stopped, so that about half of all stay up.

    None may be stopped unless more than half of all are up.
    """
    up = [each for each in deployed.vms if each.is_up]
    return up if 2 * len(up) > len(deployed.vms) else []


async def _restart(
    deployed: deployment_module.Deployment,
    vm: deployment_module.Vm,
    interval: list[float],
) -> None:
    deployed.start_vm(vm)
    await deployed.wait_ready(vm)
    interval[1] = trio.current_time()


@fault
async def vm_killed(deployed: deployment_module.Deployment, rng: random.Random) -> None:
    """Kill a VM and restart it."""
    for vm in rng.sample(
        _stoppable_vms(deployed), min(1, len(_stoppable_vms(deployed)))
    ):
        vm.is_up = False
        interval = deployed.observations.begin_disturbance(vm.name, trio.current_time())
        deployed.signal(vm, signal.SIGKILL)
        await deployed.wait_end(vm, 1.0)
        await trio.sleep(rng.uniform(0.1, 2.0))
        await _restart(deployed, vm, interval)


@fault
async def vms_killed_together(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Kill half of the VMs at the same moment."""
    up = _stoppable_vms(deployed)
    chosen = rng.sample(up, len(up) // 2)
    intervals = []
    for vm in chosen:
        vm.is_up = False
        intervals.append(
            deployed.observations.begin_disturbance(vm.name, trio.current_time())
        )
        deployed.signal(vm, signal.SIGKILL)
    for vm, interval in zip(chosen, intervals, strict=True):
        await deployed.wait_end(vm, 1.0)
        await _restart(deployed, vm, interval)


@fault
async def vm_stopped(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Stop a VM gracefully and restart it, sometimes with a SIGHUP meanwhile."""
    for vm in rng.sample(
        _stoppable_vms(deployed), min(1, len(_stoppable_vms(deployed)))
    ):
        vm.is_up = False
        started_at = trio.current_time()
        interval = deployed.observations.begin_stop(vm.name, started_at)
        deployed.signal(vm, signal.SIGTERM)
        if rng.random() < 0.3:
            await trio.sleep(rng.uniform(0.0, 1.0))
            deployed.signal(vm, signal.SIGHUP)
        code = await deployed.wait_end(vm, deployed.site.bounds["grace_s"])
        now = trio.current_time()
        deployed.observations.record_event(
            started_at, "vm stopping", f"{vm.name} {now}"
        )
        deployed.observations.record_event(now, "vm stopped", f"{vm.name} {code}")
        if code is None:
            deployed.signal(vm, signal.SIGKILL)
            await deployed.wait_end(vm, 1.0)
        await _restart(deployed, vm, interval)


@fault
async def vm_paused(deployed: deployment_module.Deployment, rng: random.Random) -> None:
    """Suspend a VM's process for a while; its clock continues."""
    for vm in rng.sample(
        _stoppable_vms(deployed), min(1, len(_stoppable_vms(deployed)))
    ):
        interval = deployed.observations.begin_disturbance(vm.name, trio.current_time())
        vm.is_up, vm.is_paused = False, True
        deployed.signal(vm, signal.SIGSTOP)
        await trio.sleep(rng.uniform(0.2, _MAX_FAULT_SECONDS))
        deployed.signal(vm, signal.SIGCONT)
        vm.is_up, vm.is_paused = True, False
        interval[1] = trio.current_time()


@fault
async def vms_reloaded(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Make two VMs reload their settings, once or twice."""
    for vm in rng.sample(deployed.vms, 2):
        if vm.is_up:
            for _ in range(rng.choice((1, 2))):
                deployed.signal(vm, signal.SIGHUP)


@fault
async def store_away_for_some(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Block VM-store connections in one or both directions, or reset them."""
    mode = rng.choice((proxy.Mode.SILENT, proxy.Mode.NO_RESPONSES, proxy.Mode.RESET))
    chosen = rng.sample(deployed.vms, rng.randint(1, len(deployed.vms)))
    await _disturb_store(deployed, chosen, mode, rng)


@fault
async def store_slow(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Delay all traffic between the VMs and the store."""
    await _disturb_store(deployed, deployed.vms, proxy.Mode.DELAYED, rng)


async def _disturb_store(
    deployed: deployment_module.Deployment,
    vms: list[deployment_module.Vm],
    mode: proxy.Mode,
    rng: random.Random,
) -> None:
    now = trio.current_time()
    # VMs may be added meanwhile.
    vms = list(vms)
    intervals = [
        deployed.observations.begin_disturbance(history.store_of(each.name), now)
        for each in vms
    ]
    delay = rng.uniform(0.05, 0.6)
    for each in vms:
        each.store_proxy.set_mode(mode, delay)
    await trio.sleep(rng.uniform(0.5, _MAX_FAULT_SECONDS))
    for each, interval in zip(vms, intervals, strict=True):
        each.store_proxy.set_mode(proxy.Mode.OPEN)
        interval[1] = trio.current_time()


@fault
async def store_misbehaves(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Make the store reject calls, lose responses or drop its change history."""
    interval = deployed.observations.begin_disturbance("store", trio.current_time())
    kind = rng.choice(("refuses", "loses", "forgets"))
    if kind == "refuses":
        deployed.store.status = rng.choice((429, 503))
    deployed.store.lose_answers = kind == "loses"
    if kind == "forgets":
        deployed.store.drop_history()
    await trio.sleep(rng.uniform(0.5, _MAX_FAULT_SECONDS))
    deployed.store.status, deployed.store.lose_answers = None, False
    interval[1] = trio.current_time()


async def store_returned(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Make the store come back from an older copy, sometimes twice.

    Not registered in `FAULTS`: another entry would change the faults that each seed
    selects.
    """
    if deployed.store_returns:
        return
    deployed.store_returns = True
    copy = deployed.store.copy()
    await trio.sleep(rng.uniform(0.0, _MAX_COPY_SECONDS))
    for _ in range(rng.choice((1, 1, 2))):
        interval = deployed.observations.begin_disturbance("store", trio.current_time())
        deployed.store.go_away()
        await trio.sleep(rng.uniform(0.0, _MAX_AWAY_SECONDS))
        lost = deployed.store.come_back(copy)
        now = trio.current_time()
        deployed.observations.record_event(now, "store returned", str(len(lost)))
        rng.shuffle(lost)
        for each in lost:
            await trio.sleep(rng.uniform(0.0, _MAX_REWRITE_SECONDS) / len(lost))
            deployed.store.write_again([each])
        interval[1] = trio.current_time()
    deployed.store_returns = False


@fault
async def connections_reset(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Reset all open connections to two upstreams and of two VMs to the store."""
    for each in rng.sample(sorted(deployed.upstreams), 2):
        deployed.upstreams[each].tcp_proxy.reset_connections()
    for vm in rng.sample(deployed.vms, 2):
        vm.store_proxy.reset_connections()


@fault
async def upstream_disturbed(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Delay, block or reset the connections of an upstream for a while."""
    tcp_proxy = deployed.upstreams[rng.choice(sorted(deployed.upstreams))].tcp_proxy
    modes = [each for each in proxy.Mode if each is not proxy.Mode.OPEN]
    tcp_proxy.set_mode(rng.choice(modes), rng.uniform(0.05, 0.5))
    await trio.sleep(rng.uniform(0.3, _MAX_FAULT_SECONDS))
    tcp_proxy.set_mode(proxy.Mode.OPEN)


@fault
async def upstream_answers_badly(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Make an upstream send truncated, duplicate, stray or no responses."""
    stand_in = deployed.upstreams[rng.choice(sorted(deployed.upstreams))].stand_in
    stand_in.fault = rng.choice(("short", "close", "stray", "duplicate"))
    await trio.sleep(rng.uniform(0.3, _MAX_FAULT_SECONDS))
    stand_in.fault = ""


@fault
async def upstream_replaced(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Add an upstream, then drain and remove an old one."""
    old = rng.choice(sorted(deployed.upstreams))
    data_centre = rng.choice(deployed.site.data_centres)[0]
    await deployed.add_upstream(data_centre, deployed.upstreams[old].service)
    if old not in deployed.upstreams:
        return
    deployed.register(old, data_centre, state="draining", sequence=9)
    deployed.observations.record_event(trio.current_time(), "upstream leaving", old)
    await trio.sleep(deployed.site.bounds["drain_timeout_s"] + 1.0)
    if old in deployed.upstreams:
        deployed.upstreams[old].tcp_proxy.set_mode(proxy.Mode.RESET)
        deployed.retire(old)


@fault
async def state_changed(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Add one route, or three in quick succession."""
    for _ in range(rng.choice((1, 1, 3))):
        name = f"route-{len(deployed.added_routes)}"
        deployed.added_routes.append(name)
        deployed.write_state()
        deployed.observations.record_event(trio.current_time(), "route added", name)
        await trio.sleep(rng.uniform(0.01, 0.3))


@fault
async def key_withdrawn(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Withdraw a key that callers continue to use."""
    keys = [
        key for each in deployed.organisations.values() for key in each["api_keys"][1:]
    ]
    if not keys:
        return
    key = rng.choice(keys)
    owner = next(
        each for each in deployed.organisations.values() if key in each["api_keys"]
    )
    remaining = [each for each in owner["api_keys"] if each != key]
    # Callers choose from both lists; the desired state lists the remaining keys only.
    owner["api_keys"] = remaining
    deployed.write_state()
    deployed.observations.record_event(trio.current_time(), "key withdrawn", key)

    owner["withdrawn"] = [*owner.get("withdrawn", []), key]


@fault
async def rate_lowered(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Set an organisation's rate below its load."""
    name = rng.choice(sorted(deployed.organisations))
    organisation = deployed.organisations[name]
    if organisation["rate_per_s"]:
        return
    rate = rng.choice((2, 5, 10))
    organisation["rate_per_s"], organisation["burst"] = rate, rate
    deployed.write_state()
    deployed.observations.record_event(
        trio.current_time(), "rate set", f"{name} {rate} {rate} inf"
    )


async def send_disconnecting_burst(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Send many requests to one VM at once and disconnect without waiting.

    Not registered in `FAULTS`: bursts occur in every run, and another entry would
    change the faults that each seed selects.
    """
    vm = rng.choice(deployed.burst_targets)
    organisation = rng.choice(list(deployed.organisations.values()))
    key = organisation["api_keys"][0]
    # Also the ids of those that could not connect are never used again.
    first = deployed.burst_callers
    deployed.burst_callers += _BURST_CALLERS
    if deployed.start_burst:
        deployed.start_burst(vm.name, key, first, rng.random())
    else:
        await play_burst(deployed.observations, vm, key, first, rng)


async def play_burst(
    observations: history.History,
    vm: deployment_module.Vm,
    key: str,
    first: int,
    rng: random.Random,
) -> None:
    """Send the requests of a burst, whose ids begin with a number."""
    async with trio.open_nursery() as nursery:
        for number in range(first, first + _BURST_CALLERS):
            path = rng.choice(["/view/x", "/claim/x"])
            nursery.start_soon(
                _request_and_disconnect,
                observations,
                vm,
                f"left-{number}",
                path,
                key,
                rng.random(),
            )


async def _request_and_disconnect(
    observations: history.History,
    vm: deployment_module.Vm,
    request_id: str,
    path: str,
    key: str,
    seconds: float,
) -> None:
    lines = [
        f"{'GET' if path.startswith('/view') else 'POST'} {path} HTTP/1.1",
        f"Host: {fleet.HOST}",
        f"Rattanlug-Request-Id: {request_id}",
        "Rattanlug-Deadline-Ms: 2000",
        f"Authorization: Token {key}",
    ]
    data = "\r\n".join(lines).encode() + b"\r\n\r\n"
    # The VM may be down, or stop meanwhile.
    with contextlib.suppress(OSError, trio.BrokenResourceError, trio.TooSlowError):
        with trio.fail_after(1.0):
            stream = await trio.open_tcp_stream(vm.host, deployment_module.FIRST_PORT)
        async with stream:
            await stream.send_all(data)
            await trio.sleep(seconds * _MAX_CONNECTION_SECONDS)
        observations.disconnects[request_id] = (trio.current_time(), vm.name)
