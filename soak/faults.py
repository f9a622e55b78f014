"""Faults that are injected from outside, and changes that operators make."""

import contextlib
import random
import signal
from collections.abc import Awaitable, Callable

import trio

from soak import deployment as deployment_module
from soak import proxy
from trial.shared_platform import fleet

Fault = Callable[[deployment_module.Deployment, random.Random], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
# Longer than a VM may take no notice of a signal, shorter than a run.
_LONGEST_SECONDS = 4.0
# Callers that come to one VM together: more than it serves in a second.
_BURST_CALLERS = 300
_LONGEST_STAY_SECONDS = 0.2


def fault(function: Fault) -> Fault:
    """Register a fault under the name of its function."""
    FAULTS[function.__name__] = function
    return function


def _up(deployed: deployment_module.Deployment) -> list[deployment_module.Vm]:
    """Return VMs that may be taken away; at least half of all stay."""
    up = [each for each in deployed.vms if each.is_up]
    return up if 2 * len(up) > len(deployed.vms) else []


async def _restart(
    deployed: deployment_module.Deployment,
    vm: deployment_module.Vm,
    span: list[float],
) -> None:
    deployed.start_vm(vm)
    await deployed.wait_ready(vm)
    span[1] = trio.current_time()


@fault
async def vm_killed(deployed: deployment_module.Deployment, rng: random.Random) -> None:
    """Kill a VM and start it again."""
    for vm in rng.sample(_up(deployed), min(1, len(_up(deployed)))):
        vm.is_up = False
        span = deployed.seen.begin_disturbance(vm.name, trio.current_time())
        deployed.signal(vm, signal.SIGKILL)
        await deployed.wait_end(vm, 1.0)
        await trio.sleep(rng.uniform(0.1, 2.0))
        await _restart(deployed, vm, span)


@fault
async def vms_killed_together(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Kill half of the VMs at the same moment."""
    up = _up(deployed)
    chosen = rng.sample(up, len(up) // 2)
    spans = []
    for vm in chosen:
        vm.is_up = False
        spans.append(deployed.seen.begin_disturbance(vm.name, trio.current_time()))
        deployed.signal(vm, signal.SIGKILL)
    for vm, span in zip(chosen, spans, strict=True):
        await deployed.wait_end(vm, 1.0)
        await _restart(deployed, vm, span)


@fault
async def vm_stopped(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Stop a VM as in a planned restart, sometimes with a second signal."""
    for vm in rng.sample(_up(deployed), min(1, len(_up(deployed)))):
        vm.is_up = False
        began = trio.current_time()
        span = deployed.seen.begin_disturbance(vm.name, began)
        deployed.signal(vm, signal.SIGTERM)
        if rng.random() < 0.3:
            await trio.sleep(rng.uniform(0.0, 1.0))
            deployed.signal(vm, signal.SIGHUP)
        code = await deployed.wait_end(vm, deployment_module.GRACE_SECONDS)
        now = trio.current_time()
        deployed.seen.note(began, "vm stopping", f"{vm.name} {now}")
        deployed.seen.note(now, "vm stopped", f"{vm.name} {code}")
        if code is None:
            deployed.signal(vm, signal.SIGKILL)
            await deployed.wait_end(vm, 1.0)
        await _restart(deployed, vm, span)


@fault
async def vm_paused(deployed: deployment_module.Deployment, rng: random.Random) -> None:
    """Stop a VM's processor for a while; its clock goes on."""
    for vm in rng.sample(_up(deployed), min(1, len(_up(deployed)))):
        span = deployed.seen.begin_disturbance(vm.name, trio.current_time())
        vm.is_up, vm.is_paused = False, True
        deployed.signal(vm, signal.SIGSTOP)
        await trio.sleep(rng.uniform(0.2, _LONGEST_SECONDS))
        deployed.signal(vm, signal.SIGCONT)
        vm.is_up, vm.is_paused = True, False
        span[1] = trio.current_time()


@fault
async def vms_reloaded(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Have VMs read their settings again, some twice."""
    for vm in rng.sample(deployed.vms, 2):
        if vm.is_up:
            for _ in range(rng.choice((1, 2))):
                deployed.signal(vm, signal.SIGHUP)


@fault
async def store_away_for_some(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Cut VMs off from the store, both ways, one way, or with resets."""
    mode = rng.choice((proxy.Mode.SILENT, proxy.Mode.NO_ANSWERS, proxy.Mode.RESET))
    chosen = rng.sample(deployed.vms, rng.randint(1, len(deployed.vms)))
    await _disturb_store(deployed, chosen, mode, rng)


@fault
async def store_slow(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Delay every answer of the store."""
    await _disturb_store(deployed, deployed.vms, proxy.Mode.DELAYED, rng)


async def _disturb_store(
    deployed: deployment_module.Deployment,
    vms: list[deployment_module.Vm],
    mode: proxy.Mode,
    rng: random.Random,
) -> None:
    now = trio.current_time()
    spans = [deployed.seen.begin_disturbance(each.name, now) for each in vms]
    delay = rng.uniform(0.05, 0.6)
    for each in vms:
        each.to_store.set_mode(mode, delay)
    await trio.sleep(rng.uniform(0.5, _LONGEST_SECONDS))
    for each, span in zip(vms, spans, strict=True):
        each.to_store.set_mode(proxy.Mode.OPEN)
        span[1] = trio.current_time()


@fault
async def store_misbehaves(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Have the store refuse, lose answers, or forget its history."""
    span = deployed.seen.begin_disturbance("store", trio.current_time())
    kind = rng.choice(("refuses", "loses", "forgets"))
    if kind == "refuses":
        deployed.store.status = rng.choice((429, 503))
    deployed.store.lose_answers = kind == "loses"
    if kind == "forgets":
        deployed.store.drop_history()
    await trio.sleep(rng.uniform(0.5, _LONGEST_SECONDS))
    deployed.store.status, deployed.store.lose_answers = None, False
    span[1] = trio.current_time()


@fault
async def connections_reset(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Reset all open connections to some upstreams and to the store."""
    for each in rng.sample(sorted(deployed.backends), 2):
        deployed.backends[each].way.reset_connections()
    for vm in rng.sample(deployed.vms, 2):
        vm.to_store.reset_connections()


@fault
async def upstream_disturbed(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Delay, silence, cut one way or reset an upstream for a while."""
    way = deployed.backends[rng.choice(sorted(deployed.backends))].way
    modes = [each for each in proxy.Mode if each is not proxy.Mode.OPEN]
    way.set_mode(rng.choice(modes), rng.uniform(0.05, 0.5))
    await trio.sleep(rng.uniform(0.3, _LONGEST_SECONDS))
    way.set_mode(proxy.Mode.OPEN)


@fault
async def upstream_answers_badly(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Cut answers short, send them twice, or drop them after the work."""
    stand_in = deployed.backends[rng.choice(sorted(deployed.backends))].stand_in
    stand_in.fault = rng.choice(("short", "close", "stray", "duplicate"))
    await trio.sleep(rng.uniform(0.3, _LONGEST_SECONDS))
    stand_in.fault = ""


@fault
async def upstream_replaced(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Start an upstream beside an old one, which drains and leaves."""
    old = rng.choice(sorted(deployed.backends))
    centre = rng.choice(deployment_module.CENTRES)[0]
    await deployed.add_backend(centre)
    deployed.register(old, centre, state="draining", sequence=9)
    deployed.seen.note(trio.current_time(), "upstream leaving", old)
    await trio.sleep(deployment_module.DRAIN_SECONDS + 1.0)
    if old in deployed.backends:
        deployed.backends[old].way.set_mode(proxy.Mode.RESET)
        deployed.retire(old)


@fault
async def state_changed(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Add a route, sometimes in quick succession."""
    for _ in range(rng.choice((1, 1, 3))):
        name = f"route-{len(deployed.added_routes)}"
        deployed.added_routes.append(name)
        deployed.write_state()
        deployed.seen.note(trio.current_time(), "route added", name)
        await trio.sleep(rng.uniform(0.01, 0.3))


@fault
async def key_withdrawn(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Take a key away; callers go on using it for a while."""
    keys = [
        key for each in deployed.organisations.values() for key in each["api_keys"][1:]
    ]
    if not keys:
        return
    key = rng.choice(keys)
    owner = next(
        each for each in deployed.organisations.values() if key in each["api_keys"]
    )
    kept = [each for each in owner["api_keys"] if each != key]
    # Callers choose among these; the desired state holds only those that are kept.
    owner["api_keys"] = kept
    deployed.write_state()
    deployed.seen.note(trio.current_time(), "key withdrawn", key)
    owner["withdrawn"] = [*owner.get("withdrawn", []), key]


@fault
async def rate_lowered(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Give an organisation a rate below what it sends."""
    name = rng.choice(sorted(deployed.organisations))
    found = deployed.organisations[name]
    if found["rate_per_s"]:
        return
    rate = rng.choice((2, 5, 10))
    found["rate_per_s"], found["burst"] = rate, rate
    deployed.write_state()
    deployed.seen.note(trio.current_time(), "rate set", f"{name} {rate} {rate} inf")


async def callers_come_and_leave(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Let many callers come to one VM at once and close without waiting.

    It is no entry of the registry: it comes beside the faults of every run, and an
    entry more would change the faults of each seed.
    """
    vm = rng.choice(deployed.pressed)
    organisation = rng.choice(list(deployed.organisations.values()))
    key = organisation["api_keys"][0]
    first = len(deployed.seen.left)
    async with trio.open_nursery() as nursery:
        for number in range(first, first + _BURST_CALLERS):
            path = rng.choice(["/view/x", "/claim/x"])
            nursery.start_soon(
                _ask_and_leave, deployed, vm, f"left-{number}", path, key, rng.random()
            )


async def _ask_and_leave(
    deployed: deployment_module.Deployment,
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
    # The VM may be gone, or end meanwhile.
    with contextlib.suppress(OSError, trio.BrokenResourceError, trio.TooSlowError):
        with trio.fail_after(1.0):
            stream = await trio.open_tcp_stream(vm.host, deployment_module.FIRST_PORT)
        async with stream:
            await stream.send_all(data)
            await trio.sleep(seconds * _LONGEST_STAY_SECONDS)
        deployed.seen.left[request_id] = (trio.current_time(), vm.name)
