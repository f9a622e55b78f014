"""Cases of callers that send slowly, in parts, ahead, or leave half-way."""

import trio

from trial.cases import lab as lab_module
from trial.cases import outcome, raw_caller, registry


async def _exchange(
    lab: lab_module.Lab,
    daemon: lab_module.Daemon,
    method: str,
    path: str,
    lines: str,
    pieces: list[bytes],
    pause_seconds: float,
    half_closes: bool = False,
) -> outcome.Outcome:
    caller = await lab.connect(daemon)
    request_id = lab.next_id()
    data = raw_caller.head(method, path, request_id, 4000, lines=lines)
    try:
        await caller.send(data)
        for each in pieces:
            await trio.sleep(pause_seconds)
            await caller.send(each)
        if half_closes:
            await caller.stream.send_eof()
    except trio.BrokenResourceError:
        pass
    found = await caller.receive(method, request_id, 5.0)
    lab.outcomes.append(found)
    await caller.aclose()
    return found


@registry.case
async def slow_and_parted_requests(lab: lab_module.Lab) -> None:
    """Bodies with a length, in chunks, with 100-continue, in slow pieces."""
    await lab.start()
    daemon = await lab.start_daemon()
    chunk = b"5\r\nhello\r\n"
    forms = [
        ("POST", "Content-Length: 25\r\n", [b"hello"] * 5),
        ("POST", "Transfer-Encoding: chunked\r\n", [chunk] * 5 + [b"0\r\n\r\n"]),
        ("POST", "Expect: 100-continue\r\nContent-Length: 5\r\n", [b"hello"]),
        (
            "POST",
            "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n",
            [chunk, b"0\r\n\r\n"],
        ),
        (
            "POST",
            "Transfer-Encoding: chunked\r\n",
            [b"5;x=y\r\nhello\r\n0\r\nTrailer: 1\r\n\r\n"],
        ),
        ("PUT", "Content-Length: 0\r\n", []),
        ("GET", "Content-Length: 5\r\n", [b"hello"]),
        ("DELETE", "", []),
        ("POST", "Content-Length: 500000\r\n", [b"x" * 50000] * 10),
    ]
    async with trio.open_nursery() as nursery:
        for number in range(6 * len(forms)):
            method, lines, pieces = forms[number % len(forms)]
            path = ("/view/1", "/claim/1", "/open/1")[number // len(forms) % 3]
            pause = (0.02, 0.08)[number // len(forms) % 2]
            nursery.start_soon(
                _exchange, lab, daemon, method, path, lines, pieces, pause
            )
            await trio.sleep(0.02)
    wrong = [each for each in lab.outcomes if each.status not in (200, 503)]
    if wrong:
        lab.breaches.append(f"{len(wrong)} not 200: {wrong[0]}")
    refused = sum(each.status == 503 for each in lab.outcomes)
    if refused > len(lab.outcomes) // 4:
        lab.breaches.append(f"{refused} refused of {len(lab.outcomes)}")
    await lab.stop(daemon)


@registry.case
async def half_closed_callers(lab: lab_module.Lab) -> None:
    """Callers shut their sending side down after the request and wait."""
    await lab.start()
    daemon = await lab.start_daemon()
    for each in lab.upstreams:
        each.work_seconds = 0.3
    for number in range(12):
        path = ("/view/1", "/claim/1")[number % 2]
        lines = ("", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n")[
            number % 3
        ]
        pieces = ([], [b"hello"], [b"5\r\nhello\r\n0\r\n\r\n"])[number % 3]
        found = await _exchange(
            lab, daemon, "POST" if lines else "GET", path, lines, pieces, 0.01, True
        )
        lab.notes.append(
            f"{path} {lines.strip() or 'no body'}: {found.status or found.failure}"
        )
    await lab.stop(daemon)


@registry.case
async def pipelined_requests(lab: lab_module.Lab) -> None:
    """Ten requests at once on a connection, of both kinds, some with bodies."""
    await lab.start()
    daemon = await lab.start_daemon()

    async def pipeline(number: int) -> None:
        caller = await lab.connect(daemon)
        sent = []
        data = b""
        for position in range(10):
            request_id = lab.next_id()
            kind = (number + position) % 4
            path = "/view/1" if kind % 2 else "/claim/1"
            if kind < 2:
                data += raw_caller.head("GET", path, request_id, 4000)
                sent.append(("GET", request_id))
            elif kind == 2:
                data += (
                    raw_caller.head(
                        "POST", path, request_id, 4000, lines="Content-Length: 5\r\n"
                    )
                    + b"hello"
                )
                sent.append(("POST", request_id))
            else:
                data += (
                    raw_caller.head(
                        "POST",
                        path,
                        request_id,
                        4000,
                        lines="Transfer-Encoding: chunked\r\n",
                    )
                    + b"5\r\nhello\r\n0\r\n\r\n"
                )
                sent.append(("POST", request_id))
        step = (len(data), 100, 700)[number % 3]
        for start in range(0, len(data), step):
            await caller.send(data[start : start + step])
            await trio.sleep(0.001)
        for method, request_id in sent:
            found = await caller.receive(method, request_id, 5.0)
            lab.outcomes.append(found)
            if found.failure:
                lab.breaches.append(f"pipelined {request_id}: {found.failure}")
            if found.failure or found.closes:
                break
        await caller.aclose()

    async with trio.open_nursery() as nursery:
        for number in range(24):
            nursery.start_soon(pipeline, number)
            await trio.sleep(0.05)
    await lab.stop(daemon)


@registry.case
async def callers_that_leave(lab: lab_module.Lab) -> None:
    """Callers leave before the head, within a body, and before the response."""
    await lab.start()
    for each in lab.upstreams:
        each.work_seconds = 0.2
    daemon = await lab.start_daemon()

    async def leave(number: int) -> None:
        caller = await lab.connect(daemon)
        data = (
            raw_caller.head(
                "POST",
                ("/view/1", "/claim/1")[number % 2],
                lab.next_id(),
                1500,
                lines="Content-Length: 100000\r\n",
            )
            + b"x" * 100000
        )
        cut = (0, 5, 150, 5000, len(data), len(data))[number % 6]
        await caller.send(data[:cut])
        await trio.sleep((0.0, 0.05, 0.25)[number % 3])
        await caller.aclose()

    async with lab.traffic([daemon], callers=4), trio.open_nursery() as nursery:
        for number in range(200):
            nursery.start_soon(leave, number)
            await trio.sleep(0.01)
    await lab.stop(daemon)


@registry.case
async def request_at_the_idle_close(lab: lab_module.Lab) -> None:
    """Kept connections send again as the idle timeout closes them."""
    await lab.start()
    state = lab.state()
    lab.put_state(limits={**state["limits"], "idle_timeout_s": 1})
    daemon = await lab.start_daemon()

    async def send_late(number: int) -> None:
        caller = await lab.connect(daemon)
        await lab.send(caller)
        await trio.sleep(3.0 + 0.03 * number)
        await lab.send(caller)
        await caller.aclose()

    async with trio.open_nursery() as nursery:
        for number in range(120):
            nursery.start_soon(send_late, number)
            await trio.sleep(0.002)
    await lab.stop(daemon)


@registry.case
async def expect_and_rejected(lab: lab_module.Lab) -> None:
    """Announce a body with 100-continue that is rejected without being read."""
    await lab.start()
    daemon = await lab.start_daemon()
    forms = (
        ("/none/1", "Content-Length: 500000\r\n"),
        ("/none/1", "Content-Length: 5\r\n"),
        ("/claim/1", "Content-Length: 50000000\r\n"),
        ("/claim/1", "Content-Length: 5\r\nX: " + "y" * 9000 + "\r\n"),
        ("/claim/1", "Content-Length: 500000\r\nAuthorization: Token none\r\n"),
        ("/claim/1", "Content-Length: 500000\r\n"),
        ("/none/1", "Transfer-Encoding: chunked\r\n"),
    )
    for number in range(10 * len(forms)):
        path, lines = forms[number % len(forms)]
        lines += "Expect: 100-continue\r\n"
        body = b"x" * (500000 if "500000" in lines else 5)
        if "chunked" in lines:
            body = b"5\r\nhello\r\n0\r\n\r\n"
        found = await _exchange(lab, daemon, "POST", path, lines, [body], 0.02)
        if found.failure:
            lab.breaches.append(f"{path} {lines[:30]!r}: {found.failure}")
    await lab.stop(daemon)
