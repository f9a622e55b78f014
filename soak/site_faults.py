"""Faults of a site's run: overlapping processes, cold upstreams, late settings."""

import random
import signal

import trio

from soak import deployment as deployment_module
from soak import faults, proxy, site_callers, site_upstream
from trial.shared_platform import endless_response

FAULTS: dict[str, faults.Fault] = {}
# A start takes this long at most, while the store answers.
START_SECONDS = 10.0
_GIVE_UP_SECONDS = 40.0
# A pressing caller sends this many times as often as others.
_PRESSING = 3.0
# On a site that isn't scaled down, this many times as often.
_PRESSING_SHARE = 0.7
_AWAY = (proxy.Mode.SILENT, proxy.Mode.RESET, proxy.Mode.DELAYED)


def fault(function: faults.Fault) -> faults.Fault:
    """Register a fault under the name of its function."""
    FAULTS[function.__name__] = function
    return function


def claim(vm: deployment_module.Vm) -> bool:
    """Return whether a fault may stop the VM; no other may until it is up again."""
    was_up, vm.is_up = vm.is_up, False
    return was_up


def choose(
    deployed: deployment_module.Deployment, rng: random.Random, most: int
) -> list[deployment_module.Vm]:
    """Return some VMs that are up."""
    up = [each for each in deployed.vms if each.is_up]
    return rng.sample(up, min(rng.randint(1, most), len(up)))


async def stop(
    deployed: deployment_module.Deployment, vm: deployment_module.Vm, process: str
) -> None:
    """Wait until a process that got SIGTERM has ended; record how it ended."""
    started_at = trio.current_time()
    grace = deployed.site.bounds["grace_s"]
    code = await deployed.wait_process(process, grace)
    now = trio.current_time()
    deployed.observations.record_event(started_at, "vm stopping", f"{vm.name} {now}")
    deployed.observations.record_event(now, "vm stopped", f"{vm.name} {code}")
    if code is None:
        deployed.signal_process(process, signal.SIGKILL)
        await deployed.wait_process(process, 1.0)


async def start(
    deployed: deployment_module.Deployment,
    vm: deployment_module.Vm,
    since: float | None = None,
) -> None:
    """Record when the VM, whose process was started, is ready, unless that ends."""
    since = trio.current_time() if since is None else since
    taken = float("inf")
    with trio.move_on_after(_GIVE_UP_SECONDS):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_at_end, deployed, vm.process, nursery)
            await deployed.wait_served(vm)
            taken = trio.current_time() - since
            nursery.cancel_scope.cancel()
    deployed.observations.record_event(since, "vm started", f"{vm.name} {taken:.2f}")


async def _cancel_at_end(
    deployed: deployment_module.Deployment, process: str, nursery: trio.Nursery
) -> None:
    await deployed.wait_process(process, _GIVE_UP_SECONDS)
    nursery.cancel_scope.cancel()


async def _kill(
    deployed: deployment_module.Deployment, vm: deployment_module.Vm
) -> list[float]:
    interval = deployed.observations.begin_disturbance(vm.name, trio.current_time())
    deployed.observations.record_event(trio.current_time(), "vm killed", vm.name)
    deployed.signal(vm, signal.SIGKILL)
    await deployed.wait_end(vm, 1.0)
    return interval


@fault
async def vm_replaced_in_series(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Stop a VM's process and start the next at once, a few times in a row."""
    for vm in choose(deployed, rng, 2):
        for _ in range(rng.randint(1, 3)):
            await _replace(deployed, vm, rng)


async def _replace(
    deployed: deployment_module.Deployment,
    vm: deployment_module.Vm,
    rng: random.Random,
) -> None:
    if not claim(vm):
        return
    old = vm.process
    interval = deployed.observations.begin_stop(vm.name, trio.current_time())
    deployed.signal(vm, signal.SIGTERM)
    await trio.sleep(rng.choice((0.0, 0.05, 0.5)))
    deployed.start_vm(vm)
    vm.is_up = False
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop, deployed, vm, old)
        if rng.random() < 0.5:
            await trio.sleep(rng.uniform(0.0, 1.0))
            for each in (old, vm.process):
                deployed.reload(each)
            deployed.signal_process(old, signal.SIGTERM)
    await start(deployed, vm)
    vm.is_up = True
    interval[1] = trio.current_time()


@fault
async def vms_stopped_in_turn(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Stop all VMs one after the other, with signals that overlap."""
    gap = rng.uniform(0.3, 1.5)
    async with trio.open_nursery() as nursery:
        for vm in rng.sample(deployed.vms, len(deployed.vms)):
            if claim(vm):
                nursery.start_soon(_stop_and_start, deployed, vm, rng)
                await trio.sleep(gap)


async def _stop_and_start(
    deployed: deployment_module.Deployment,
    vm: deployment_module.Vm,
    rng: random.Random,
) -> None:
    interval = deployed.observations.begin_stop(vm.name, trio.current_time())
    deployed.signal(vm, signal.SIGTERM)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop, deployed, vm, vm.process)
        await trio.sleep(rng.uniform(0.0, 1.0))
        for number in rng.sample((signal.SIGHUP, signal.SIGTERM), rng.randint(0, 2)):
            deployed.signal(vm, number)
    deployed.start_vm(vm)
    vm.is_up = False
    await start(deployed, vm)
    vm.is_up = True
    interval[1] = trio.current_time()


@fault
async def all_vms_killed(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Kill all VMs at the same moment and restart them at once."""
    async with trio.open_nursery() as nursery:
        for vm in deployed.vms:
            if claim(vm):
                nursery.start_soon(_kill_and_start, deployed, vm, 1)


@fault
async def vm_killed_in_series(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Kill a VM again just after it has become ready, a few times."""
    async with trio.open_nursery() as nursery:
        for vm in choose(deployed, rng, 2):
            times = rng.randint(2, 3)
            claim(vm)
            nursery.start_soon(_kill_and_start, deployed, vm, times)


async def _kill_and_start(
    deployed: deployment_module.Deployment, vm: deployment_module.Vm, times: int
) -> None:
    for _ in range(times):
        interval = await _kill(deployed, vm)
        deployed.start_vm(vm)
        vm.is_up = False
        await start(deployed, vm)
        interval[1] = trio.current_time()
    vm.is_up = True


@fault
async def vms_started_without_store(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Kill VMs and start them while their way to the store is disturbed."""
    async with trio.open_nursery() as nursery:
        for vm in choose(deployed, rng, 3):
            seconds, mode = rng.uniform(1.0, 5.0), rng.choice(_AWAY)
            claim(vm)
            nursery.start_soon(_start_without_store, deployed, vm, mode, seconds)


async def _start_without_store(
    deployed: deployment_module.Deployment,
    vm: deployment_module.Vm,
    mode: proxy.Mode,
    seconds: float,
) -> None:
    interval = await _kill(deployed, vm)
    vm.store_proxy.set_mode(mode, 0.8)
    deployed.start_vm(vm)
    vm.is_up = False
    await trio.sleep(seconds)
    vm.store_proxy.set_mode(proxy.Mode.OPEN)
    await start(deployed, vm)
    vm.is_up = True
    interval[1] = trio.current_time()


@fault
async def settings_late_or_rewritten(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Start a VM before its settings are written, or rewrite them without a signal."""
    for vm in choose(deployed, rng, 1):
        seeds = rng.sample(deployed.vms, 3)
        if rng.random() < 0.5:
            deployed.write_settings(vm, seeds)
            return
        claim(vm)
        interval = await _kill(deployed, vm)
        text = deployed.settings_path(vm).read_text()
        if rng.random() < 0.5:
            deployed.settings_path(vm).unlink()
        else:
            deployed.settings_path(vm).write_text(text[: rng.randrange(len(text))])
        deployed.start_process(vm)
        vm.is_up = False
        await trio.sleep(rng.uniform(0.2, 2.0))
        deployed.write_settings(vm, seeds)
        await start(deployed, vm)
        vm.is_up = True
        interval[1] = trio.current_time()


@fault
async def vms_scheduled_late(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Take the processor from several VMs, again and again, for up to 300 ms.

    This is no disturbance that excuses a VM: machines schedule with such delays.
    """
    for _ in range(rng.randint(3, 10)):
        chosen = [each for each in choose(deployed, rng, 4) if not each.is_paused]
        names = [each.process for each in chosen]
        for each in names:
            deployed.signal_process(each, signal.SIGSTOP)
        await trio.sleep(rng.uniform(0.02, 0.3))
        for each in names:
            deployed.signal_process(each, signal.SIGCONT)
        await trio.sleep(rng.uniform(0.02, 0.5))


@fault
async def upstreams_turn_cold(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Make some upstreams cold again; they report it a moment later."""
    names = rng.sample(sorted(deployed.upstreams), rng.randint(1, 4))
    for name in names:
        deployed.upstreams[name].stand_in.turn_cold(reported=False)
    await trio.sleep(rng.uniform(0.0, 0.8))
    for name in names:
        if name in deployed.upstreams and not deployed.upstreams[name].is_leaving:
            registered = deployed.upstreams[name]
            registered.sequence += 1
            deployed.register(name, registered.data_centre)


@fault
async def upstream_added_cold(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Add an upstream that is cold, and take one away after a while."""
    like = deployed.upstreams[rng.choice(sorted(deployed.upstreams))]
    name = await deployed.add_upstream(like.data_centre, like.service, cold=True)
    await trio.sleep(rng.uniform(3.0, 8.0))
    if name in deployed.upstreams:
        deployed.observations.record_event(
            trio.current_time(), "upstream leaving", name
        )
        deployed.register(name, like.data_centre, state="draining", sequence=9)
        await trio.sleep(deployed.site.bounds["drain_timeout_s"] + 2.0)
        if name in deployed.upstreams:
            deployed.upstreams[name].tcp_proxy.set_mode(proxy.Mode.RESET)
            deployed.retire(name)


@fault
async def upstream_crashes(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Crash an upstream; start it again, cold, under its id or a new one."""
    name = rng.choice(sorted(deployed.upstreams))
    crashed = deployed.upstreams[name]
    if crashed.stand_in.has_crashed:
        return
    crashed.tcp_proxy.end()
    crashed.stand_in.crash()
    await trio.sleep(rng.uniform(0.2, 4.0))
    if deployed.upstreams.get(name) is not crashed or crashed.is_leaving:
        return
    if rng.random() < 0.5:
        await deployed.restart_upstream(name)
    else:
        await deployed.add_upstream(crashed.data_centre, crashed.service, cold=True)
        await trio.sleep(2.0)
        if deployed.upstreams.get(name) is crashed:
            deployed.retire(name)


def _faulty_answers(kind: str, shares: tuple[float, float]) -> None:
    async def inject(
        deployed: deployment_module.Deployment, rng: random.Random
    ) -> None:
        names = rng.sample(sorted(deployed.upstreams), rng.randint(1, 3))
        chosen = [deployed.upstreams[each].stand_in for each in names]
        for each in chosen:
            each.fault, each.share = kind, rng.uniform(*shares)
        await trio.sleep(rng.uniform(1.0, 5.0))
        for each in chosen:
            each.fault, each.share = "", 1.0

    inject.__name__ = f"upstreams_answer_{kind}"
    inject.__doc__ = f"Make some upstreams answer with the fault {kind}."
    fault(inject)


for _kind, _shares in {
    "again": (1.0, 1.0),
    "late": (0.1, 1.0),
    "cut": (0.05, 0.4),
    "close": (0.05, 0.5),
}.items():
    _faulty_answers(_kind, _shares)


@fault
async def upstreams_send_without_end(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Make one, some or all upstreams send bytes without end to each request."""
    names = sorted(deployed.upstreams)
    count = rng.choice((1, rng.randint(1, len(names)), len(names)))
    endless = site_upstream.Endless(
        rng.choice(sorted(endless_response.FORMS)),
        rng.choice(endless_response.STATUSES),
    )
    chosen = [deployed.upstreams[each].stand_in for each in rng.sample(names, count)]
    subject = f"{endless.form} {endless.status} from {count} of {len(names)}"
    now = trio.current_time()
    deployed.observations.record_event(now, "responses without end", subject)
    for each in chosen:
        each.endless = endless
    await trio.sleep(rng.uniform(1.0, 5.0))
    for each in chosen:
        # A later fault of this kind may have set another.
        if each.endless is endless:
            each.endless = None


@fault
async def callers_press(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Let as many callers again come for some seconds, on new connections."""
    if deployed.start_callers:
        rate = _PRESSING_SHARE * deployed.site.requests_per_second
        deployed.start_callers(rate, rng.uniform(1.0, 4.0))
        return
    first = deployed.callers
    deployed.callers += deployed.site.callers
    with trio.move_on_after(rng.uniform(1.0, 4.0)):
        async with trio.open_nursery() as nursery:
            for index in range(first, first + deployed.site.callers):
                caller = site_callers.SiteCaller(
                    index,
                    deployed,
                    random.Random(rng.random()),
                    _PRESSING * deployed.site.requests_per_second,
                )
                nursery.start_soon(caller.run)


@fault
async def upstreams_slow(
    deployed: deployment_module.Deployment, rng: random.Random
) -> None:
    """Make some upstreams slow, so that their queues fill and they refuse."""
    names = rng.sample(sorted(deployed.upstreams), rng.randint(1, 4))
    chosen: list[site_upstream.SiteUpstream] = [
        deployed.upstreams[each].stand_in for each in names
    ]
    for each in chosen:
        each.slowness = rng.uniform(1.5, 5.0)
    await trio.sleep(rng.uniform(1.0, 5.0))
    for each in chosen:
        each.slowness = 1.0
