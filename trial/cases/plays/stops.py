"""Cases of stops: several signals, suspension and late requests."""

import signal

import trio

from trial.cases import lab as lab_module
from trial.cases import raw_caller, registry


async def _stop_beside_traffic(
    lab: lab_module.Lab, *signals: tuple[float, signal.Signals]
) -> None:
    await lab.start()
    for each in lab.upstreams:
        each.work_seconds = 0.3
    daemon = await lab.start_daemon()
    async with lab.traffic([daemon], callers=10):
        await trio.sleep(0.6)
        for delay, number in signals:
            await trio.sleep(delay)
            daemon.signal(number)
        if await daemon.wait(7.0) is None:
            lab.breaches.append("still runs 7 s after the last signal")


@registry.case
async def term_once(lab: lab_module.Lab) -> None:
    """One SIGTERM beside traffic."""
    await _stop_beside_traffic(lab, (0.0, signal.SIGTERM))


@registry.case
async def term_twice_at_once(lab: lab_module.Lab) -> None:
    """Two SIGTERM without a pause."""
    await _stop_beside_traffic(lab, (0.0, signal.SIGTERM), (0.0, signal.SIGTERM))


@registry.case
async def term_twice_later(lab: lab_module.Lab) -> None:
    """Send a second SIGTERM while the first is carried out."""
    await _stop_beside_traffic(lab, (0.0, signal.SIGTERM), (1.0, signal.SIGTERM))


@registry.case
async def term_every_tenth(lab: lab_module.Lab) -> None:
    """Send a SIGTERM each 0.1 s until the process has ended."""
    await _stop_beside_traffic(lab, *[(0.1, signal.SIGTERM)] * 60)


@registry.case
async def int_after_term(lab: lab_module.Lab) -> None:
    """SIGINT after SIGTERM."""
    await _stop_beside_traffic(
        lab, (0.0, signal.SIGTERM), (0.5, signal.SIGINT), (1.0, signal.SIGINT)
    )


@registry.case
async def term_after_int(lab: lab_module.Lab) -> None:
    """SIGTERM after SIGINT."""
    await _stop_beside_traffic(lab, (0.0, signal.SIGINT), (0.5, signal.SIGTERM))


@registry.case
async def hup_storm_in_stop(lab: lab_module.Lab) -> None:
    """SIGHUP each 10 ms during a stop, until the process has ended."""
    await _stop_beside_traffic(
        lab, (0.0, signal.SIGTERM), *[(0.01, signal.SIGHUP)] * 600
    )


@registry.case
async def hup_storm_then_term(lab: lab_module.Lab) -> None:
    """SIGHUP each 5 ms beside traffic, then SIGTERM."""
    await _stop_beside_traffic(
        lab, *[(0.005, signal.SIGHUP)] * 300, (0.0, signal.SIGTERM)
    )


@registry.case
async def suspended_around_term(lab: lab_module.Lab) -> None:
    """SIGSTOP, SIGTERM and SIGCONT one second later."""
    await _stop_beside_traffic(
        lab,
        (0.0, signal.SIGSTOP),
        (0.3, signal.SIGTERM),
        (0.7, signal.SIGCONT),
    )


@registry.case
async def suspended_in_stop(lab: lab_module.Lab) -> None:
    """SIGSTOP and SIGCONT one second after SIGTERM."""
    await _stop_beside_traffic(
        lab,
        (0.0, signal.SIGTERM),
        (1.0, signal.SIGSTOP),
        (1.0, signal.SIGCONT),
    )


@registry.case
async def stop_beside_states(lab: lab_module.Lab) -> None:
    """Desired states each 50 ms during a stop, with routes that come and go."""
    await lab.start()
    for each in lab.upstreams:
        each.work_seconds = 0.3
    daemon = await lab.start_daemon()
    async with lab.traffic([daemon], callers=10):
        await trio.sleep(0.5)
        daemon.signal(signal.SIGTERM)
        for number in range(100):
            state = lab.state()
            host = state["virtual_hosts"][0]
            paths = [each for each in host["paths"] if each["name"] != "extra"]
            if number % 2:
                paths.append({**paths[0], "name": "extra", "prefix": "/extra/"})
            for each in paths:
                each["timeout_s"] = 1.0 + number % 3
            lab.put_state(virtual_hosts=[{**host, "paths": paths}])
            await trio.sleep(0.05)
        if await daemon.wait(3.0) is None:
            lab.breaches.append("still runs 8 s after SIGTERM")


@registry.case
async def stop_beside_new_vm(lab: lab_module.Lab) -> None:
    """Add a VM while another one stops; callers use both."""
    await lab.start()
    daemon = await lab.start_daemon()
    second = await lab.start_daemon(1)
    async with lab.traffic([daemon, second], callers=10):
        await trio.sleep(0.5)
        daemon.signal(signal.SIGTERM)
        third = await lab.start_daemon(2)
        if await daemon.wait(7.0) is None:
            lab.breaches.append("still runs 7 s after SIGTERM")
        again = lab.start_process(0)
        await lab.wait_ready(again)
        await trio.sleep(0.5)
    await lab.stop(second)
    await lab.stop(third)
    await lab.stop(again)


@registry.case
async def stop_without_store(lab: lab_module.Lab) -> None:
    """Let the store answer nothing from just before a stop on."""

    async def silent(stream: trio.SocketStream) -> None:
        await trio.sleep_forever()

    await lab.start()
    for each in lab.upstreams:
        each.work_seconds = 0.3
    daemon = await lab.start_daemon()
    async with lab.traffic([daemon], callers=10):
        await trio.sleep(0.5)
        lab.gate.play(silent)
        daemon.signal(signal.SIGTERM)
        if await daemon.wait(6.5) is None:
            lab.breaches.append("still runs 6.5 s after SIGTERM")


@registry.case
async def term_while_starting(lab: lab_module.Lab) -> None:
    """SIGTERM at 0.05 to 1.2 s after the start, with connections that wait."""
    await lab.start()
    lab.bounds = {"grace_s": 2}
    lab.write_settings(0)
    for step in range(24):
        daemon = lab.start_process(0)
        callers = []
        with trio.move_on_after(0.05 + 0.05 * step):
            while len(callers) < 8:
                try:
                    callers.append(await lab.connect(daemon))
                except OSError:
                    await trio.sleep(0.005)
            await trio.sleep_forever()
        async with trio.open_nursery() as nursery:
            for each in callers:
                nursery.start_soon(lab.send, each)
            daemon.signal(signal.SIGTERM)
            code = await daemon.wait(8.0)
        for each in callers:
            await each.aclose()
        # The interpreter's own first moments are known.
        daemon.expected = {0, -15} if not daemon.log else {0}
        if code is None:
            lab.breaches.append(f"step {step}: has not ended")


@registry.case
async def pipelined_at_stop(lab: lab_module.Lab) -> None:
    """Callers that pipeline three requests at the very moment of the stop."""
    await lab.start()
    for each in lab.upstreams:
        each.work_seconds = 0.2
    daemon = await lab.start_daemon()

    async def pipeline(path: str) -> None:
        caller = await lab.connect(daemon)
        ids = [lab.next_id() for _ in range(3)]
        await caller.send(b"".join(raw_caller.head("GET", path, each) for each in ids))
        for each in ids:
            found = await caller.receive("GET", each, 4.0)
            # What follows an announced close is not read.
            lab.outcomes.append(found)
            if found.closes or found.failure:
                break
        await caller.aclose()

    async with trio.open_nursery() as nursery:
        for number in range(30):
            nursery.start_soon(pipeline, "/view/1" if number % 2 else "/claim/1")
            await trio.sleep(0.01)
            if number == 15:
                daemon.signal(signal.SIGTERM)
    if await daemon.wait(7.0) is None:
        lab.breaches.append("still runs 7 s after SIGTERM")


@registry.case
async def kept_through_stop(lab: lab_module.Lab) -> None:
    """Kept connections send at random moments of a stop, and at its close."""
    await lab.start()
    daemon = await lab.start_daemon()
    async with lab.traffic([daemon], callers=40, keeps=True, pause_seconds=0.3):
        await trio.sleep(1.0)
        daemon.signal(signal.SIGTERM)
        if await daemon.wait(7.0) is None:
            lab.breaches.append("still runs 7 s after SIGTERM")


@registry.case
async def uploads_through_stop(lab: lab_module.Lab) -> None:
    """Slow uploads, with a length and in chunks, that end after the SIGTERM."""
    await lab.start()
    daemon = await lab.start_daemon()

    async def upload(number: int) -> None:
        caller = await lab.connect(daemon)
        request_id = lab.next_id()
        is_chunked = number % 2
        lines = (
            "Transfer-Encoding: chunked\r\n"
            if is_chunked
            else "Content-Length: 60000\r\n"
        )
        if number % 3 == 0:
            lines += "Expect: 100-continue\r\n"
        path = "/claim/1" if number % 4 < 2 else "/view/1"
        await caller.send(raw_caller.head("POST", path, request_id, 3000, lines=lines))
        for _ in range(6):
            await trio.sleep(0.1)
            piece = b"x" * 10000
            await caller.send(b"2710\r\n" + piece + b"\r\n" if is_chunked else piece)
        if is_chunked:
            await caller.send(b"0\r\n\r\n")
        lab.outcomes.append(await caller.receive("POST", request_id, 4.0))
        await caller.aclose()

    async with trio.open_nursery() as nursery:
        for number in range(48):
            nursery.start_soon(upload, number)
            await trio.sleep(0.02)
            if number == 24:
                daemon.signal(signal.SIGTERM)
    if await daemon.wait(7.0) is None:
        lab.breaches.append("still runs 7 s after SIGTERM")
