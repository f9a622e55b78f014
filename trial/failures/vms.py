"""Entry VMs that crash, are paused or are restarted."""

import random

import trio

from trial import clock
from trial.failures import context, moves, registry

_PAUSES_S = (3, 8, 15)
# Service time at which requests hold about half of the second service's slots, so
# that seats borrow slots and a paused VM has slots in use, lent and borrowed.
_BUSY_MS = 700.0
_QUEUE_S = 2.0


@registry.failure("kill", order=1, seconds=18)
async def kill_vm(running: context.FailureContext, generator: random.Random) -> str:
    """Kill a VM and restart it 1 to 13 s later, before or after its seat expired."""
    place = generator.choice(running.live)
    down_s = generator.uniform(1, 13)
    async with running.killed(place):
        await trio.sleep(down_s)
    return f"{place.vm} was down for {down_s:.1f} s"


@registry.failure("kill-during-move", order=4, seconds=44)
async def kill_steering_vm(
    running: context.FailureContext, generator: random.Random
) -> str:
    """Kill the VM that steers a good move, which must still end in time."""
    name, deadline = await moves.start_move(running, 38)
    await trio.sleep(generator.uniform(3, 12))
    place = await running.find_steering_vm()
    async with running.killed(place):
        await trio.sleep(generator.uniform(1, 8))
    state = await moves.wait_final(running, name, deadline)
    return f"killed {place.vm}, {name} {state}"


@registry.failure("restarts-platform-down", order=1, seconds=40)
async def restart_while_platform_down(
    running: context.FailureContext, generator: random.Random
) -> str:
    """Restart three VMs in turn while the platform is down.

    A restarted VM receives the configuration from a majority of data centres, but gets
    no seat before the platform is up again.
    """
    chosen = generator.sample(running.live, 3)
    async with running.platform_mode("down"):
        for place in chosen:
            async with running.killed(place):
                await trio.sleep(generator.uniform(0.2, 1))
    return "restarted " + ", ".join(each.vm for each in chosen)


async def _occupy_slots(running: context.FailureContext) -> None:
    service = running.plan.services[1].name
    for place in running.places.upstreams:
        if place.service == service:
            await running.control_upstream(place, service_ms=_BUSY_MS)
    running.record_event(f"{service} takes {_BUSY_MS:g} ms")
    await trio.sleep(_QUEUE_S)


def _register_pause(seconds: int) -> None:
    @registry.failure(f"pause-{seconds}", order=1, seconds=seconds + 8)
    async def pause(running: context.FailureContext, generator: random.Random) -> str:
        await _occupy_slots(running)
        place = generator.choice(running.live)
        async with running.paused(place):
            await trio.sleep(seconds)
        began = clock.now()
        await running.wait_serving(place)
        return f"{place.vm} serves {clock.now() - began:.1f} s after it continued"


for _each in _PAUSES_S:
    _register_pause(_each)


@registry.failure("pause-steering", order=4, seconds=48)
async def pause_steering_vm(
    running: context.FailureContext, generator: random.Random
) -> str:
    """Pause the VM that steers a good move for 8 s, longer than its lease of 5 s."""
    name, deadline = await moves.start_move(running, 42)
    await trio.sleep(generator.uniform(3, 12))
    place = await running.find_steering_vm()
    async with running.paused(place):
        await trio.sleep(8)
    state = await moves.wait_final(running, name, deadline)
    return f"paused {place.vm} for 8 s, {name} {state}"


@registry.failure("stop-each", order=5, seconds=130)
async def stop_each(running: context.FailureContext, generator: random.Random) -> str:
    """Shut down and restart every VM gracefully, one after the other."""
    order = generator.sample(running.live, len(running.live))
    longest = 0.0
    for place in order:
        longest = max(longest, await running.stop_gracefully(place))
    return f"{len(order)} VMs stopped, the longest took {longest:.1f} s"
