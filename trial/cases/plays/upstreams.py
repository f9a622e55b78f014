"""Cases of upstreams that answer, close or change in odd ways."""

import random

import trio

from trial.cases import lab as lab_module
from trial.cases import raw_caller, registry, scripted_upstream
from trial.shared_platform import fleet

_LARGE_BYTES = 3_000_000


async def _play_script(
    lab: lab_module.Lab,
    script: scripted_upstream.Script,
    seconds: float = 2.5,
    path: str = "",
    body: bytes = b"",
) -> None:
    await lab.start(4)
    daemon = await lab.start_daemon()
    for each in lab.upstreams[:3]:
        each.script = script
    async with lab.traffic([daemon], callers=8, path=path, body=body):
        await trio.sleep(seconds)
    if await lab.readiness(daemon) != 200:
        lab.breaches.append("not ready afterwards")
    await lab.stop(daemon)


@registry.case
async def odd_statuses(lab: lab_module.Lab) -> None:
    """Statuses 1xx before the response, 204, 304, 205 and statuses without meaning."""
    statuses = (200, 204, 205, 299, 304, 399, 404, 418, 499, 500, 599)

    async def script(upstream, stream, received) -> bool:
        if not await upstream.read_body(stream, received):
            return False
        status = statuses[len(upstream.begun) % len(statuses)]
        early = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * (
            len(upstream.begun) % 3
        )
        has_body = status not in (204, 205, 304)
        data = upstream.response(received, status, b"ok" if has_body else b"")
        if not has_body and len(upstream.begun) % 2:
            data = data.replace(b"Content-Length: 0\r\n", b"")
        if status == 205:
            data = upstream.response(received, 205, b"")
        await stream.send_all(early + data)
        return True

    await _play_script(lab, script)


@registry.case
async def head_requests(lab: lab_module.Lab) -> None:
    """HEAD, with a length and without one, of 200, 204, 304, 404 and 503."""
    statuses = (200, 204, 304, 404, 503)

    async def script(upstream, stream, received) -> bool:
        status = statuses[len(upstream.begun) % len(statuses)]
        data = upstream.response(received, status, b"")
        if len(upstream.begun) % 2:
            data = data.replace(
                f"Content-Length: {len(upstream.body)}\r\n".encode(), b""
            )
        await stream.send_all(data)
        return True

    await lab.start(2)
    daemon = await lab.start_daemon()
    for each in lab.upstreams:
        each.script = script
    for number in range(60):
        caller = await lab.connect(daemon)
        for _ in range(3):
            path = ("/view/1", "/claim/1", "/none/1")[number % 3]
            found = await lab.send(caller, path, method="HEAD")
            if found.body:
                lab.breaches.append(f"HEAD with a body: {found.body[:60]!r}")
            if found.failure or found.closes:
                break
        await caller.aclose()
    await lab.stop(daemon)


@registry.case
async def answers_before_the_upload_ends(lab: lab_module.Lab) -> None:
    """Upstreams answer at the head of an upload, then read on, close or reset."""

    async def script(upstream, stream, received) -> bool:
        kind = len(upstream.begun) % 4
        await stream.send_all(upstream.response(received, 200, b"early"))
        if kind == 0:
            return await upstream.read_body(stream, received)
        if kind == 1:
            await trio.sleep(0.1)
            return await upstream.read_body(stream, received)
        if kind == 2:
            await trio.sleep(0.05)
        return False

    await _play_script(lab, script, path="/claim/1", body=b"x" * 200_000)


@registry.case
async def closes_after_head(lab: lab_module.Lab) -> None:
    """Upstreams send a head, or a part of one, and close or reset."""

    async def script(upstream, stream, received) -> bool:
        data = upstream.response(received, 200, b"x" * 1000)
        cut = (1, 9, 40, data.find(b"\r\n\r\n") + 4, len(data) - 1)
        await upstream.read_body(stream, received)
        await stream.send_all(data[: cut[len(upstream.begun) % len(cut)]])
        return False

    await _play_script(lab, script)


@registry.case
async def random_bytes_of_upstreams(lab: lab_module.Lab) -> None:
    """Upstreams send random bytes, or responses with random bytes changed."""

    async def script(upstream, stream, received) -> bool:
        await upstream.read_body(stream, received)
        data = bytearray(upstream.response(received, 200, b"x" * 50))
        if lab.rng.random() < 0.3:
            await stream.send_all(lab.rng.randbytes(lab.rng.randrange(400)))
            return False
        for _ in range(lab.rng.randrange(1, 6)):
            data[lab.rng.randrange(len(data))] = lab.rng.randrange(256)
        await stream.send_all(bytes(data))
        return lab.rng.random() < 0.5

    await _play_script(lab, script, 6.0)


_ODD_HEADERS = (
    "Rattanlug-Backend-Load: nan,inf,-1\r\n",
    "Rattanlug-Backend-Load: 99999999999999999999999,1,0\r\n",
    "Rattanlug-Backend-Load: ,,\r\n",
    "Keep-Alive: timeout=99999999999999999999999999\r\n",
    "Keep-Alive: timeout=-5\r\n",
    "Keep-Alive: timeout=\xb2\r\n",
    "Rattanlug-Cold-Ms: nan\r\n",
    "Rattanlug-Cold-Ms: 1e400\r\n",
    "Rattanlug-Not-Executed: \r\n",
    "Retry-After: nan\r\n",
    "Retry-After: 1e999\r\n",
    "Retry-After: -3\r\n",
    "Connection: keep-alive, close, foo\r\n",
    "Connection: rattanlug-server-stamp\r\n",
    "Trailer: x\r\n",
    "X: " + "y" * 60_000 + "\r\n",
    "Date: \xff\xfe\r\n",
    "Set-Cookie: a=b\r\n" * 300,
    "Rattanlug-Backend-Id: \r\n",
    "Rattanlug-Backend-Load: 1,2\r\n",
    "Content-Encoding: gzip\r\n",
    "Upgrade: websocket\r\n",
    "Keep-Alive: timeout=0\r\n",
    "Rattanlug-Backend-Load: \u0661,\u0662,\u0663\r\n",
)


@registry.case
async def odd_headers_of_upstreams(lab: lab_module.Lab) -> None:
    """Header values out of range, empty, very long or not in ASCII."""

    async def script(upstream, stream, received) -> bool:
        if not await upstream.read_body(stream, received):
            return False
        line = _ODD_HEADERS[len(upstream.begun) % len(_ODD_HEADERS)].encode("utf-8")
        status = (200, 503, 429, 421)[len(upstream.begun) // 24 % 4]
        data = upstream.response(received, status, b"ok")
        await stream.send_all(data.replace(b"\r\n\r\n", b"\r\n" + line + b"\r\n", 1))
        return True

    await _play_script(lab, script, 6.0)


@registry.case
async def chunked_and_endless(lab: lab_module.Lab) -> None:
    """Responses in chunks, with odd chunk sizes, without a length, and trailers."""
    bodies = (
        b"5\r\nhello\r\n0\r\n\r\n",
        b"5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n",
        b"0005\r\nhello\r\n000\r\n\r\n",
        b"-1\r\nhello\r\n0\r\n\r\n",
        b"ffffffffffffffffffff\r\nhello",
        b"zz\r\nhello\r\n0\r\n\r\n",
        b"5\r\nhel",
        b"5\r\nhelloXX0\r\n\r\n",
        b"",
    )

    async def script(upstream, stream, received) -> bool:
        if not await upstream.read_body(stream, received):
            return False
        number = len(upstream.begun)
        data = upstream.response(received, 200, b"")
        if number % 4 == 0:
            data = data.replace(b"Content-Length: 0\r\n", b"Connection: close\r\n")
            await stream.send_all(data + b"until the end")
            return False
        data = data.replace(b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n")
        await stream.send_all(data + bodies[number % len(bodies)])
        return number % 3 == 0

    await _play_script(lab, script, 5.0)


@registry.case
async def slow_upstreams(lab: lab_module.Lab) -> None:
    """Upstreams send one byte each 20 ms, or stop in the middle."""

    async def script(upstream, stream, received) -> bool:
        if not await upstream.read_body(stream, received):
            return False
        data = upstream.response(received, 200, b"x" * 20)
        for position in range(len(data)):
            await stream.send_all(data[position : position + 1])
            await trio.sleep(0.002)
            if position == len(data) - 5 and len(upstream.begun) % 3 == 0:
                await trio.sleep(2.0)
        return True

    await _play_script(lab, script, 4.0)


async def _play_large(
    lab: lab_module.Lab, readers: int, size: int, is_chunked: bool
) -> None:
    """Let callers read large responses slowly, beside small ones."""
    await lab.start(3)
    daemon = await lab.start_daemon(0, limits={"max_fds": 4100})
    body = b"x" * size

    async def script(upstream, stream, received) -> bool:
        if not received.path.startswith("/open"):
            return await scripted_upstream.answer(upstream, stream, received)
        if not is_chunked:
            await stream.send_all(upstream.response(received, 200, body))
            return True
        head = upstream.response(received, 200, b"")
        head = head.replace(b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n")
        await stream.send_all(head + b"%x\r\n" % size + body + b"\r\n0\r\n\r\n")
        return True

    for each in lab.upstreams:
        each.script = script

    async def read_slowly() -> None:
        caller = await lab.connect(daemon)
        await caller.send(raw_caller.head("GET", "/open/1", lab.next_id(), 1500))
        with trio.move_on_after(6.0):
            while await caller.stream.receive_some(4096):
                await trio.sleep(0.02)
        await caller.aclose()

    async with trio.open_nursery() as nursery:
        for _ in range(readers):
            nursery.start_soon(read_slowly)
            await trio.sleep(0.003)
        async with lab.traffic([daemon], callers=4):
            await trio.sleep(4.0)
    lab.notes.append(f"peak {daemon.memory_mb():.0f} MB")
    if daemon.memory_mb() > 300:
        lab.breaches.append("over the memory limit")
    await lab.stop(daemon)


@registry.case
async def large_responses_to_slow_readers(lab: lab_module.Lab) -> None:
    """Read responses of 3 MB slowly."""
    await _play_large(lab, 150, _LARGE_BYTES, False)


@registry.case
async def larger_responses_to_more_readers(lab: lab_module.Lab) -> None:
    """Read responses of 8 MB slowly, on 400 connections."""
    await _play_large(lab, 400, 8_000_000, False)


@registry.case
async def large_chunked_responses(lab: lab_module.Lab) -> None:
    """Read responses of 8 MB in one chunk slowly, on 400 connections."""
    await _play_large(lab, 400, 8_000_000, True)


@registry.case
async def many_middling_responses(lab: lab_module.Lab) -> None:
    """Read responses of 250 kB, which count as small, on 1,500 connections."""
    await _play_large(lab, 1500, 250_000, False)


@registry.case
async def upstreams_move(lab: lab_module.Lab) -> None:
    """Registrations vanish, drain, move, change service and come back under traffic."""
    await lab.start(5)
    for each in lab.upstreams:
        each.work_seconds = 0.15
    daemon = await lab.start_daemon()
    rng = random.Random(lab.rng.random())
    async with lab.traffic([daemon], callers=12):
        for step in range(120):
            chosen = rng.choice(lab.upstreams)
            kind = rng.randrange(6)
            if kind == 0:
                lab.store.remove("servers", chosen.name)
            elif kind == 1:
                lab.register(chosen, state="draining", sequence=step)
            elif kind == 2:
                lab.register(
                    chosen,
                    address=f"127.0.0.1:{rng.choice(lab.upstreams).port}",
                    sequence=step,
                )
            elif kind == 3:
                lab.register(chosen, service="other", sequence=step)
            elif kind == 4:
                lab.register(
                    chosen, born=step + 2, cold_seconds=rng.random(), sequence=step
                )
            else:
                lab.register(chosen, sequence=step)
            await trio.sleep(0.03)
    await lab.stop(daemon)


@registry.case
async def states_in_quick_succession(lab: lab_module.Lab) -> None:
    """Routes, services, organisations and limits come and go while requests run."""
    await lab.start(4)
    for each in lab.upstreams:
        each.work_seconds = 0.25
    daemon = await lab.start_daemon()
    rng = random.Random(lab.rng.random())
    async with lab.traffic([daemon], callers=12):
        for _ in range(80):
            state = fleet.desired_state(0)
            paths = state["virtual_hosts"][0]["paths"]
            kind = rng.randrange(6)
            if kind == 0:
                del paths[rng.randrange(len(paths))]
            elif kind == 1:
                state["tenants"] = []
            elif kind == 2:
                state["services"] = []
            elif kind == 3:
                state["virtual_hosts"] = []
            elif kind == 4:
                state["limits"] = {
                    "max_body_bytes": 1,
                    "idle_timeout_s": 0.01,
                    "max_header_bytes": 10,
                    "header_timeout_s": 0.001,
                }
            else:
                for each in paths:
                    each["timeout_s"] = rng.choice((0.0, 0.001, 0.2, 5.0))
                    each["max_attempts"] = rng.choice((0, 1, 9))
                    each["priority"] = rng.randrange(9)
            changed = {
                name: state[name]
                for name in ("tenants", "services", "virtual_hosts", "limits")
            }
            lab.put_state(**changed)
            await trio.sleep(0.05)
        lab.put_state()
        await trio.sleep(1.0)
    await lab.stop(daemon)


@registry.case
async def idle_timeout_changes(lab: lab_module.Lab) -> None:
    """Lower and raise the idle timeout while connections are kept."""
    await lab.start(2)
    daemon = await lab.start_daemon()
    limits = fleet.desired_state()["limits"]
    async with lab.traffic([daemon], callers=30, keeps=True, pause_seconds=1.0):
        for seconds in (15, 1, 15, 2, 15):
            lab.put_state(limits={**limits, "idle_timeout_s": seconds})
            await trio.sleep(3.0)
    await lab.stop(daemon)
