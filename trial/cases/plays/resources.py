"""Cases of many connections, few descriptors, memory over time and stepped clocks."""

import resource

import trio

from trial.cases import lab as lab_module
from trial.cases import raw_caller, registry
from trial.cases.lab import FIRST_PORT


async def _open_many(lab: lab_module.Lab, host: str, port: int, count: int) -> list:
    opened: list[trio.SocketStream] = []
    for _ in range(count):
        with trio.move_on_after(0.5):
            try:
                opened.append(await trio.open_tcp_stream(host, port))
            except OSError:
                break
    return opened


@registry.case
async def descriptors_used_up(lab: lab_module.Lab) -> None:
    """Idle connections to all ports use up 256 descriptors; they end after 3 s."""
    await lab.start()
    lab.write_settings(0)
    daemon = lab.start_process(0, {resource.RLIMIT_NOFILE: 256})
    await lab.wait_ready(daemon)
    for port in (FIRST_PORT + 4, FIRST_PORT + 2, FIRST_PORT + 1, 9464, FIRST_PORT):
        before = daemon.processor_seconds()
        opened = await _open_many(lab, daemon.host, port, 300)
        async with lab.traffic([daemon], callers=4):
            await trio.sleep(3.0)
        used = daemon.processor_seconds() - before
        status = await lab.readiness(daemon)
        lab.notes.append(
            f"port {port}: {len(opened)} open, {used:.1f} s, ready {status}"
        )
        if used > 2.4:
            lab.breaches.append(f"port {port}: {used:.1f} s of the processor in 3 s")
        for each in opened:
            await trio.aclose_forcefully(each)
        await lab.wait_ready(daemon, 8.0)
    await lab.stop(daemon)


@registry.case
async def stop_with_descriptors_used_up(lab: lab_module.Lab) -> None:
    """SIGTERM while 256 descriptors are used up by connections to the peer port."""
    await lab.start()
    lab.write_settings(0)
    daemon = lab.start_process(0, {resource.RLIMIT_NOFILE: 256})
    await lab.wait_ready(daemon)
    opened = await _open_many(lab, daemon.host, FIRST_PORT + 4, 300)
    await lab.stop(daemon)
    for each in opened:
        await trio.aclose_forcefully(each)


@registry.case
async def connections_open_and_close(lab: lab_module.Lab) -> None:
    """4,000 connections that are opened and closed or reset, beside traffic."""
    await lab.start()
    daemon = await lab.start_daemon()

    async def churn(number: int) -> None:
        for _ in range(400):
            try:
                stream = await trio.open_tcp_stream(daemon.host, FIRST_PORT)
                if number % 2:
                    await stream.send_all(b"GET /view/1 HTTP/1.1\r\n")
                await trio.aclose_forcefully(stream)
            except OSError:
                await trio.sleep(0.01)
            await trio.sleep(0.005)

    async with lab.traffic([daemon], callers=4), trio.open_nursery() as nursery:
        for number in range(10):
            nursery.start_soon(churn, number)
    await lab.wait_ready(daemon)
    await lab.stop(daemon)


@registry.case
async def memory_of_heads_and_bodies(lab: lab_module.Lab) -> None:
    """1,000 connections hold parts of heads and bodies, on all ports."""
    await lab.start()
    daemon = await lab.start_daemon(0, limits={"max_fds": 4100})
    state = lab.state()
    lab.put_state(
        limits={
            **state["limits"],
            "max_body_bytes": 64 << 20,
            "max_header_bytes": 65536,
        }
    )
    await trio.sleep(1.0)
    opened = []

    async def hold(number: int) -> None:
        port = (
            FIRST_PORT,
            FIRST_PORT,
            FIRST_PORT + 1,
            FIRST_PORT + 2,
            FIRST_PORT + 4,
            9464,
        )[number % 6]
        try:
            stream = await trio.open_tcp_stream(daemon.host, port)
            opened.append(stream)
            if port == FIRST_PORT + 4:
                data = b"\x00\x0f\xff\xff" + b"x" * 1_000_000
            elif number % 2:
                data = b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 60_000
            else:
                data = (
                    raw_caller.head(
                        "POST",
                        "/claim/1",
                        lab.next_id(),
                        9000,
                        lines="Content-Length: 60000000\r\n",
                    )
                    + b"x" * 2_000_000
                )
            with trio.move_on_after(8.0):
                await stream.send_all(data)
        except (OSError, trio.BrokenResourceError):
            pass

    async with trio.open_nursery() as nursery:
        for number in range(1000):
            nursery.start_soon(hold, number)
            if number % 10 == 0:
                await trio.sleep(0.01)
    lab.notes.append(f"peak {daemon.memory_mb():.0f} MB")
    for each in opened:
        await trio.aclose_forcefully(each)
    await lab.wait_ready(daemon)
    await lab.stop(daemon)


@registry.case
async def long_memory(lab: lab_module.Lab) -> None:
    """Memory over 105 s of some 100 requests a second, with new connections."""
    await lab.start(4)
    daemon = await lab.start_daemon()
    second = await lab.start_daemon(1)
    for each in lab.upstreams:
        each.body = b"x" * 20_000
    async with lab.traffic([daemon, second], callers=10, pause_seconds=0.06):
        for step in range(7):
            await trio.sleep(15.0)
            lab.notes.append(f"{15 * (step + 1)} s: {daemon.memory_mb():.1f} MB")
    await lab.stop(daemon)
    await lab.stop(second)


@registry.case
async def memory_of_frames(lab: lab_module.Lab) -> None:
    """Hold 600 frames of 1 MB, all but their last byte, at the port for other VMs."""
    await lab.start()
    daemon = await lab.start_daemon(0, limits={"max_fds": 4100})
    opened: list[trio.SocketStream] = []

    async def hold() -> None:
        try:
            stream = await trio.open_tcp_stream(daemon.host, FIRST_PORT + 4)
            opened.append(stream)
            with trio.move_on_after(6.0):
                await stream.send_all(b"\x00\x0f\xff\xff" + b"x" * 1_000_000)
        except (OSError, trio.BrokenResourceError):
            pass

    async with lab.traffic([daemon], callers=4):
        async with trio.open_nursery() as nursery:
            for _ in range(600):
                nursery.start_soon(hold)
                await trio.sleep(0.003)
        await trio.sleep(1.0)
    lab.notes.append(f"peak {daemon.memory_mb():.0f} MB")
    if daemon.memory_mb() > 300:
        lab.breaches.append("over the memory limit")
    for each in opened:
        await trio.aclose_forcefully(each)
    await lab.stop(daemon)
