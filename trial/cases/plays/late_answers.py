"""Cases of answers that are under way when a VM stops."""

import signal

import trio

from trial.cases import lab as lab_module
from trial.cases import outcome, raw_caller, registry, scripted_upstream

_LARGE_BYTES = 2_000_000


async def _read_slowly(
    lab: lab_module.Lab, daemon: lab_module.Daemon, pause_seconds: float
) -> None:
    """Read a large response in small pieces and judge whether it is whole."""
    caller = await lab.connect(daemon)
    request_id = lab.next_id()
    await caller.send(raw_caller.head("GET", "/view/1", request_id, 4000))
    received, began = 0, trio.current_time()
    failure, status, body = "", 200, b""
    try:
        while received < _LARGE_BYTES:
            data = await caller.stream.receive_some(32768)
            if not received and not data.startswith(b"HTTP/1.1 200 "):
                # A response of the VM's own is short.
                status, body = int(data[9:12]), data.partition(b"\r\n\r\n")[2]
                break
            if not data:
                failure = "closed within the response"
                break
            received += len(data)
            await trio.sleep(pause_seconds)
    except (OSError, trio.BrokenResourceError):
        failure = "reset"
    seconds = trio.current_time() - began
    status = 0 if failure else status
    lab.outcomes.append(outcome.Outcome(status, failure, seconds, request_id, body))
    await caller.aclose()


@registry.case
async def large_answers_at_a_stop(lab: lab_module.Lab) -> None:
    """Read answers of 2 MB in 1 to 2 s, most of it after the SIGTERM."""
    await lab.start(3)
    for each in lab.upstreams:
        each.body = b"x" * _LARGE_BYTES
    daemon = await lab.start_daemon()
    async with trio.open_nursery() as nursery:
        for number in range(30):
            nursery.start_soon(_read_slowly, lab, daemon, 0.015 + 0.001 * number % 0.01)
            await trio.sleep(0.03)
        daemon.signal(signal.SIGTERM)
    if await daemon.wait(7.0) is None:
        lab.breaches.append("still runs 7 s after SIGTERM")


@registry.case
async def answers_in_pieces_at_a_stop(lab: lab_module.Lab) -> None:
    """Let upstreams send their answers in pieces over 0.8 s across the SIGTERM."""

    async def script(upstream, stream, received) -> bool:
        if not await upstream.read_body(stream, received):
            return False
        data = upstream.response(received, 200, b"x" * 4000)
        for start in range(0, len(data), 1000):
            await stream.send_all(data[start : start + 1000])
            await trio.sleep(0.18)
        return True

    await lab.start(3)
    for each in lab.upstreams:
        each.script = script
    daemon = await lab.start_daemon()
    async with lab.traffic([daemon], callers=20):
        await trio.sleep(1.0)
        daemon.signal(signal.SIGTERM)
        if await daemon.wait(7.0) is None:
            lab.breaches.append("still runs 7 s after SIGTERM")


@registry.case
async def upstreams_break_at_a_stop(lab: lab_module.Lab) -> None:
    """Let a part of the upstreams close without an answer across the SIGTERM."""

    async def script(upstream, stream, received) -> bool:
        if len(upstream.begun) % 3 == 0:
            return False
        return await scripted_upstream.answer(upstream, stream, received)

    await lab.start(4)
    for each in lab.upstreams[:2]:
        each.script = script
    for each in lab.upstreams:
        each.work_seconds = 0.2
    daemon = await lab.start_daemon()
    async with lab.traffic([daemon], callers=20):
        await trio.sleep(1.0)
        daemon.signal(signal.SIGTERM)
        if await daemon.wait(7.0) is None:
            lab.breaches.append("still runs 7 s after SIGTERM")


@registry.case
async def stop_with_many_connections(lab: lab_module.Lab) -> None:
    """Stop beside 600 idle connections, of which each sends a request afterwards."""
    await lab.start(4)
    daemon = await lab.start_daemon(0, limits={"max_fds": 4100})
    callers = [await lab.connect(daemon) for _ in range(600)]

    async def send_late(caller: raw_caller.RawCaller, delay: float) -> None:
        await trio.sleep(delay)
        await lab.send(caller)
        await caller.aclose()

    async with trio.open_nursery() as nursery:
        for number, caller in enumerate(callers):
            nursery.start_soon(send_late, caller, 0.5 + 0.01 * number)
        await trio.sleep(1.0)
        daemon.signal(signal.SIGTERM)
    if await daemon.wait(7.0) is None:
        lab.breaches.append("still runs 7 s after SIGTERM")


async def _step_clock(lab: lab_module.Lab, seconds: float) -> None:
    clock = lab.directory / "clock"
    written = clock.with_suffix(".new")
    written.write_text(str(seconds))
    written.replace(clock)
    await trio.sleep(0.5)


@registry.case
async def clock_steps_at_a_stop(lab: lab_module.Lab) -> None:
    """Step the time of day by hours, back and forth, before and within a stop."""
    await lab.start(3)
    for each in lab.upstreams:
        each.work_seconds = 0.25
    await _step_clock(lab, 0.0)
    lab.write_settings(0)
    daemon = lab.start_process(0, clock=lab.directory / "clock")
    await lab.wait_ready(daemon)
    async with lab.traffic([daemon], callers=12):
        for seconds in (7200.0, -7200.0, 5.0, -5.0, 1e8, 0.0):
            await _step_clock(lab, seconds)
        daemon.signal(signal.SIGTERM)
        for seconds in (7200.0, -7200.0, 5.0, -5.0, 0.0):
            await _step_clock(lab, seconds)
        if await daemon.wait(7.0) is None:
            lab.breaches.append("still runs after SIGTERM")
