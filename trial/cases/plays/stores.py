"""Cases of a store that fails, at the start and later."""

import json

import trio

from trial.cases import lab as lab_module
from trial.cases import registry, store_gate


async def _read_head(stream: trio.SocketStream) -> None:
    data = b""
    while b"\r\n\r\n" not in data:
        piece = await stream.receive_some(65536)
        if not piece:
            raise trio.BrokenResourceError
        data += piece


def _response(body: bytes, kind: str = "application/json", status: int = 200) -> bytes:
    return (
        f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def _answers(data: bytes, closes: bool = False) -> store_gate.Script:
    async def script(stream: trio.SocketStream) -> None:
        while True:
            await _read_head(stream)
            await stream.send_all(data)
            if closes:
                return

    return script


async def _silent(stream: trio.SocketStream) -> None:
    await trio.sleep_forever()


async def _closes(stream: trio.SocketStream) -> None:
    return


async def _endless(stream: trio.SocketStream) -> None:
    await _read_head(stream)
    await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n")
    while True:
        await stream.send_all(b"x" * 65536)


async def _endless_head(stream: trio.SocketStream) -> None:
    await _read_head(stream)
    await stream.send_all(b"HTTP/1.1 200 OK\r\n")
    while True:
        await stream.send_all(b"X: " + b"y" * 60000 + b"\r\n")


async def _endless_chunks(stream: trio.SocketStream) -> None:
    await _read_head(stream)
    await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while True:
        await stream.send_all(b"8000\r\n" + b"[" * 0x8000 + b"\r\n")


async def _dribble(stream: trio.SocketStream) -> None:
    await _read_head(stream)
    for each in _response(b'{"rows": [], "row_version": 0}'):
        await stream.send_all(bytes([each]))
        await trio.sleep(0.05)


_ROW = {"table": "servers", "part": "", "key": "u0", "row_version": 1, "value": "e30="}


def _rows(*rows: object, **fields: object) -> bytes:
    found = {"rows": list(rows), "row_version": 0, "now_s": 5.0, "has_more": False}
    return _response(json.dumps({**found, **fields}).encode())


SCRIPTS: dict[str, store_gate.Script] = {
    "silent": _silent,
    "closes": _closes,
    "endless": _endless,
    "endless_head": _endless_head,
    "endless_chunks": _endless_chunks,
    "dribble": _dribble,
    "html": _answers(_response(b"<html>Bad gateway</html>", "text/html")),
    "html_502": _answers(_response(b"<html>Bad gateway</html>", "text/html", 502)),
    "status_500": _answers(_response(b"{}", status=500)),
    "status_429": _answers(_response(b"{}", status=429)),
    "status_410": _answers(_response(b"{}", status=410)),
    "status_412": _answers(_response(b"{}", status=412)),
    "status_204": _answers(b"HTTP/1.1 204 X\r\n\r\n"),
    "status_101": _answers(b"HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n"),
    "status_302": _answers(
        b"HTTP/1.1 302 X\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n"
    ),
    "cut": _answers(_response(b'{"rows": []}')[:-4], closes=True),
    "not_http": _answers(b"\x00\x01\x02 hello\r\n\r\n", closes=True),
    "list": _answers(_response(b"[]")),
    "null": _answers(_response(b"null")),
    "empty": _answers(_response(b"")),
    "number": _answers(_response(b"1e999")),
    "nan": _answers(_response(b'{"rows": [], "row_version": NaN, "now_s": Infinity}')),
    "no_rows": _answers(_response(b'{"row_version": 0}')),
    "rows_null": _answers(_response(b'{"rows": null, "row_version": 0}')),
    "rows_of_numbers": _answers(_rows(1, None, [], "x")),
    "row_without_key": _answers(_rows({"value": "e30=", "row_version": 0})),
    "row_key_number": _answers(_rows({**_ROW, "key": 7})),
    "row_version_text": _answers(_rows({**_ROW, "row_version": "x"})),
    "row_version_huge": _answers(_rows(_ROW, row_version=10**400)),
    "row_version_negative": _answers(_rows(_ROW, row_version=-5)),
    "row_version_fraction": _answers(_rows(_ROW, row_version=5.5)),
    "value_not_base64": _answers(_rows({**_ROW, "value": "!!!"})),
    "value_number": _answers(_rows({**_ROW, "value": 5})),
    "value_missing": _answers(_rows({"key": "u0", "row_version": 0})),
    "value_huge": _answers(_rows({**_ROW, "value": "QUFB" * 500_000})),
    "more_for_ever": _answers(_rows(_ROW, has_more=True)),
    "deep": _answers(_response(b"[" * 200_000)),
    "surrogate": _answers(_rows({**_ROW, "key": "\ud800"})),
    "many_rows": _answers(_rows(*[{**_ROW, "key": f"k{n}"} for n in range(20_000)])),
}


async def _outage(lab: lab_module.Lab, script: store_gate.Script, name: str) -> None:
    """Play one script under traffic for a while and judge what follows."""
    daemon = lab.daemons[-1]
    before = daemon.processor_seconds()
    async with lab.traffic([daemon], callers=4):
        lab.gate.play(script)
        await trio.sleep(2.0)
        used = daemon.processor_seconds() - before
        lab.gate.play(None)
        await trio.sleep(1.0)
    if used > 1.6:
        lab.breaches.append(f"{name}: {used:.2f} s of the processor in 2 s")
    began = trio.current_time()
    while trio.current_time() - began < 8.0:
        caller = await lab.connect(daemon)
        found = await lab.send(caller)
        await caller.aclose()
        if found.status == 200:
            break
        await trio.sleep(0.2)
    else:
        lab.breaches.append(f"{name}: not served 8 s after the end")
    if daemon.memory_mb() > 150 and not any("memory" in each for each in lab.notes):
        lab.notes.append(f"memory {daemon.memory_mb():.0f} MB since {name}")


def _register_outages(part: int, parts: int) -> None:
    async def play(lab: lab_module.Lab) -> None:
        await lab.start()
        lab.bounds = {"grace_s": 1}
        daemon = await lab.start_daemon()
        for name in list(SCRIPTS)[part::parts]:
            await _outage(lab, SCRIPTS[name], name)
        await lab.stop(daemon)

    play.__name__ = f"store_fails_later_{part}"
    registry.case(play)


def _register_starts(part: int, parts: int) -> None:
    async def play(lab: lab_module.Lab) -> None:
        await lab.start()
        lab.bounds = {"grace_s": 1}
        for name in list(SCRIPTS)[part::parts]:
            lab.gate.play(SCRIPTS[name])
            lab.write_settings(0)
            daemon = lab.start_process(0)
            await trio.sleep(2.5)
            lab.gate.play(None)
            if await lab.wait_ready(daemon, 8.0) is None:
                lab.breaches.append(f"not ready after {name}")
            if daemon.memory_mb() > 150:
                lab.notes.append(f"memory {daemon.memory_mb():.0f} MB after {name}")
            await lab.stop(daemon)

    play.__name__ = f"store_fails_at_start_{part}"
    registry.case(play)


_PARTS = 5
for _part in range(_PARTS):
    _register_outages(_part, _PARTS)
    _register_starts(_part, _PARTS)
