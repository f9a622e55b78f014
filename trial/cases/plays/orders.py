"""Cases in which desired states, keys, evacuations and moves must not be lost."""

import signal
from collections.abc import Awaitable, Callable

import trio

from trial.cases import lab as lab_module
from trial.cases import registry, store_gate
from trial.shared_platform import fleet

_MOVE_SECONDS = 12.0


async def _play_move(
    lab: lab_module.Lab,
    disturb: Callable[[list[lab_module.Daemon]], Awaitable[None]],
    is_bad: bool = False,
) -> None:
    """Order a move of the service to a new version and expect that it is reported."""
    await lab.start(3)
    daemons = [await lab.start_daemon(index) for index in range(3)]
    for _ in range(3):
        added = await lab.add_upstream()
        lab.register(added, version="v2")
        if is_bad:

            async def fail(upstream, stream, received) -> bool:
                if not await upstream.read_body(stream, received):
                    return False
                await stream.send_all(upstream.response(received, 500, b"bad"))
                return True

            added.script = fail
    order = {"service": fleet.SERVICE, "target": "v2", "duration_s": _MOVE_SECONDS}
    async with lab.traffic(daemons, callers=16):
        await trio.sleep(1.0)
        lab.store.put("op", f"rollout/{fleet.SERVICE}", order)
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(disturb, daemons)
            state: object = None
            while trio.current_time() - began < _MOVE_SECONDS + 8.0:
                row = lab.store.value("status", f"rollout/{fleet.SERVICE}") or {}
                state = row.get("state")
                if state in ("complete", "rolled_back"):
                    break
                await trio.sleep(0.1)
            lab.notes.append(f"{state} after {trio.current_time() - began:.1f} s")
            wanted = "rolled_back" if is_bad else "complete"
            if state != wanted:
                lab.breaches.append(f"the move is {state}, not {wanted}")
    for each in lab.daemons:
        if each.process.poll() is None:
            await lab.stop(each)


async def _nothing(daemons: list[lab_module.Daemon]) -> None:
    return


@registry.case
async def move_undisturbed(lab: lab_module.Lab) -> None:
    """Move a service to a good version."""
    await _play_move(lab, _nothing)


@registry.case
async def move_to_a_bad_version(lab: lab_module.Lab) -> None:
    """Move a service to a version that fails."""
    await _play_move(lab, _nothing, is_bad=True)


@registry.case
async def move_beside_stops(lab: lab_module.Lab) -> None:
    """Stop and start each VM in turn while a move runs."""

    async def disturb(daemons: list[lab_module.Daemon]) -> None:
        for index in range(3):
            daemons[index].signal(signal.SIGTERM)
            await daemons[index].wait(8.0)
            daemons[index] = lab.start_process(index)
            await lab.wait_ready(daemons[index])

    await _play_move(lab, disturb)


@registry.case
async def move_beside_stops_of_all(lab: lab_module.Lab) -> None:
    """Stop all VMs together while a bad version is moved to, and start them again."""

    async def disturb(daemons: list[lab_module.Daemon]) -> None:
        await trio.sleep(0.3)
        for each in daemons:
            each.signal(signal.SIGTERM)
        for index in range(3):
            await daemons[index].wait(8.0)
            daemons[index] = lab.start_process(index)

    await _play_move(lab, disturb, is_bad=True)


@registry.case
async def move_beside_lost_answers(lab: lab_module.Lab) -> None:
    """Lose the store's answers, and close its connections, while a move runs."""

    async def disturb(daemons: list[lab_module.Daemon]) -> None:
        for _ in range(5):
            lab.store.lose_answers = True
            await trio.sleep(0.6)
            lab.store.lose_answers = False
            await trio.sleep(0.8)

    await _play_move(lab, disturb)


@registry.case
async def move_beside_an_outage(lab: lab_module.Lab) -> None:
    """Let the store be silent for 3 s, then forget its history, while a move runs."""

    async def silent(stream: trio.SocketStream) -> None:
        await trio.sleep_forever()

    async def disturb(daemons: list[lab_module.Daemon]) -> None:
        await trio.sleep(1.0)
        lab.gate.play(silent)
        await trio.sleep(3.0)
        lab.store.drop_history()
        lab.gate.play(None)

    await _play_move(lab, disturb)


@registry.case
async def orders_across_stops(lab: lab_module.Lab) -> None:
    """Evacuate a data centre and withdraw a key while all VMs stop and start."""
    await lab.start(2)
    far = await lab.add_upstream()
    lab.register(far, data_centre="north-b")
    daemons = [await lab.start_daemon(index) for index in range(3)]

    async def send(daemon: lab_module.Daemon) -> int:
        caller = await lab.connect(daemon)
        try:
            return (await lab.send(caller)).status
        finally:
            await caller.aclose()

    async with lab.traffic(daemons, callers=8):
        await trio.sleep(0.5)
        for each in daemons:
            each.signal(signal.SIGTERM)
        await trio.sleep(0.2)
        lab.store.put("op", "evacuate/north-b", {"zone": "north-b"})
        keyed = lab.state()["tenants"][0]
        lab.put_state(tenants=[{**keyed, "api_keys": ["other"]}])
        for index in range(3):
            await daemons[index].wait(8.0)
            daemons[index] = lab.start_process(index)
            await lab.wait_ready(daemons[index])
        before = len(far.begun)
        for each in daemons:
            statuses = [await send(each) for _ in range(5)]
            if set(statuses) - {401}:
                lab.breaches.append(f"withdrawn key: {statuses}")
        lab.put_state()
        await trio.sleep(2.5)
        for each in daemons:
            statuses = [await send(each) for _ in range(5)]
            if set(statuses) != {200}:
                lab.breaches.append(f"key that is back: {statuses}")
        if len(far.begun) != before:
            lab.breaches.append(f"{len(far.begun) - before} at an evacuated upstream")
    for each in daemons:
        await lab.stop(each)


@registry.case
async def slow_store_for_all(lab: lab_module.Lab) -> None:
    """Delay each answer of the store by 0.7 s while VMs start, stop and serve."""
    await lab.start(2)
    lab.gate = await _delayed(lab, 0.7)
    daemons = [await lab.start_daemon(index) for index in range(3)]
    async with lab.traffic(daemons, callers=8):
        await trio.sleep(1.0)
        for index in range(3):
            daemons[index].signal(signal.SIGTERM)
            if await daemons[index].wait(7.0) is None:
                lab.breaches.append("has not ended")
            daemons[index] = lab.start_process(index)
            await lab.wait_ready(daemons[index])
    for each in daemons:
        await lab.stop(each)


async def _delayed(lab: lab_module.Lab, seconds: float) -> store_gate.StoreGate:
    lab.gate.delay_seconds = seconds
    return lab.gate
