"""Random and malformed bytes for each port of a daemon, and odd rows of its store."""

import json
import socket

import trio

from rattanlug.fleet import digest_codec
from trial.cases import lab as lab_module
from trial.cases import raw_caller, registry
from trial.cases.lab import FIRST_PORT

_TEMPLATES = (
    b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET /resolve?name=host.example&region=north&zone=north-a HTTP/1.1\r\n"
    b"Host: x\r\n\r\n",
    b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
    raw_caller.head("GET", "/view/1", "r1"),
    raw_caller.head("POST", "/claim/1", "r2", lines="Content-Length: 5\r\n") + b"hello",
    raw_caller.head("POST", "/claim/1", "r3", lines="Transfer-Encoding: chunked\r\n")
    + b"5\r\nhello\r\n0\r\n\r\n",
    raw_caller.head(
        "POST", "/claim/1", "r4", lines="Expect: 100-continue\r\nContent-Length: 3\r\n"
    ),
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: h2c\r\n"
    b"Connection: Upgrade, HTTP2-Settings\r\n"
    b"HTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n",
    b"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + b"\x00" * 200,
    b"GET /%00%ff%zz/../..//\xc3\xa9 HTTP/1.1\r\nHost: \xff\r\n\r\n",
    b"\x00\x00\x00\x05hello",
    b"\xff\xff\xff\xff",
    b"\x00\x0f\xff\xff" + b"x" * 1000,
)


def _mutate(lab: lab_module.Lab, data: bytes) -> bytes:
    rng, changed = lab.rng, bytearray(data)
    for _ in range(rng.randrange(0, 8)):
        position = rng.randrange(len(changed) + 1)
        kind = rng.randrange(4)
        if kind == 0:
            changed[position:position] = rng.randbytes(rng.randrange(1, 20))
        elif kind == 1 and changed:
            del changed[position : position + rng.randrange(1, 10)]
        elif kind == 2:
            changed[position:position] = rng.choice(
                (
                    b"\r\n",
                    b"\r\n\r\n",
                    b"\n",
                    b"\x00",
                    b"%",
                    b"%u0000",
                    b": ",
                    b"9" * 30,
                    b",",
                )
            )
        elif position < len(changed):
            changed[position] = rng.randrange(256)
    return bytes(changed)


async def _send_bytes(lab: lab_module.Lab, host: str, port: int) -> None:
    data = b"".join(
        _mutate(lab, lab.rng.choice(_TEMPLATES)) for _ in range(lab.rng.randrange(1, 4))
    )
    try:
        stream = await trio.open_tcp_stream(host, port)
    except OSError:
        return
    try:
        with trio.move_on_after(0.3):
            for piece in (data[:20], data[20:]) if lab.rng.random() < 0.3 else (data,):
                await stream.send_all(piece)
                await trio.sleep(0)
            if lab.rng.random() < 0.2:
                await stream.send_eof()
            while await stream.receive_some(65536):
                pass
    except (trio.BrokenResourceError, OSError):
        pass
    finally:
        if lab.rng.random() < 0.3:
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await trio.aclose_forcefully(stream)


@registry.case
async def bytes_to_ports(lab: lab_module.Lab) -> None:
    """Random bytes and broken requests to all TCP ports, beside traffic."""
    lab.sends_garbage = True
    await lab.start()
    daemon = await lab.start_daemon()
    ports = (FIRST_PORT, FIRST_PORT + 1, FIRST_PORT + 2, FIRST_PORT + 4, 9464)

    async def send(number: int) -> None:
        for _ in range(60):
            await _send_bytes(lab, daemon.host, ports[number % len(ports)])

    async with lab.traffic([daemon], callers=4):
        async with trio.open_nursery() as nursery:
            for number in range(15):
                nursery.start_soon(send, number)
    if await lab.readiness(daemon) != 200:
        lab.breaches.append("not ready afterwards")
    await lab.stop(daemon)


def _datagram(lab: lab_module.Lab, samples: list[bytes]) -> bytes:
    rng = lab.rng
    if not samples or rng.random() < 0.2:
        return rng.randbytes(rng.choice((0, 1, 2, 10, 100, 1400, 60000)))
    return _mutate(lab, rng.choice(samples))


@registry.case
async def datagrams(lab: lab_module.Lab) -> None:
    """Random datagrams, and digests of another VM with bytes changed."""
    await lab.start()
    daemon = await lab.start_daemon()
    # Digests of a second VM come to a socket that plays a third one.
    listening = trio.socket.socket(type=socket.SOCK_DGRAM)
    await listening.bind((lab.host(2), FIRST_PORT + 4))
    second = await lab.start_daemon(1)
    samples: list[bytes] = []
    with trio.move_on_after(4.0):
        while True:
            samples.append(await listening.recv(65536))
    lab.notes.append(f"{len(samples)} digests")
    readable = 0
    async with lab.traffic([daemon, second], callers=4):
        for number in range(12_000):
            data = _datagram(lab, samples)
            try:
                digest_codec.decode(data)
                readable += 1
            except digest_codec.UnreadableDigestError:
                pass
            await listening.sendto(data, (daemon.host, FIRST_PORT + 4))
            if number % 20 == 0:
                await trio.sleep(0.005)
        await trio.sleep(1.0)
    lab.notes.append(f"{readable} of 12,000 readable")
    for each in (daemon, second):
        if await lab.readiness(each) != 200:
            lab.breaches.append(f"{each.name} not ready afterwards")
        await lab.stop(each)
    listening.close()


_ODD_VALUES = (
    None,
    True,
    False,
    0,
    -1,
    5.5,
    1e308,
    -1e308,
    10**30,
    10**400,
    "",
    "x",
    "nan",
    "inf",
    "1e999",
    "\u0000",
    "\u0661",
    [],
    {},
    [1],
    {"a": 1},
    [[]],
    "r",
    "r-1",
    "r5x",
    "x" * 300,
    float("nan"),
    float("inf"),
)


def _change(lab: lab_module.Lab, found: object) -> object:
    """Return a copy of JSON data in which one value is replaced or removed."""
    rng = lab.rng
    if isinstance(found, dict) and found and rng.random() < 0.85:
        key = rng.choice(list(found))
        if rng.random() < 0.15:
            return {name: value for name, value in found.items() if name != key}
        return {**found, key: _change(lab, found[key])}
    if isinstance(found, list) and found and rng.random() < 0.85:
        position = rng.randrange(len(found))
        changed = _change(lab, found[position])
        return [*found[:position], changed, *found[position + 1 :]]
    return rng.choice(_ODD_VALUES)


@registry.case
async def odd_rows(lab: lab_module.Lab) -> None:
    """Rows of every table with values replaced, removed or of another type."""
    await lab.start(3)
    daemon = await lab.start_daemon()
    second = await lab.start_daemon(1)
    state = lab.state()
    server = lab.store.value("servers", "u0")
    rollout = {"service": "service-1", "target": "v2", "duration_s": 5.0}
    async with lab.traffic([daemon, second], callers=6):
        for number in range(400):
            kind = number % 5
            if kind == 0:
                lab.store.put(
                    "op",
                    "config",
                    {**_changed_state(lab, state), "version": f"r{number + 10}"},
                )
            elif kind == 1:
                lab.store.put(
                    "servers", f"odd{number % 7}", _encode(_change(lab, server))
                )
            elif kind == 2:
                lab.store.put("op", "rollout/service-1", _encode(_change(lab, rollout)))
            elif kind == 3:
                lab.store.put(
                    "op",
                    lab.rng.choice(
                        (
                            "evacuate/north-b",
                            "evacuate/",
                            "x",
                            "rollout/",
                            "evacuate/\u0000",
                            "config/x",
                        )
                    ),
                    _encode(_change(lab, {"zone": "north-b"})),
                )
            else:
                table = lab.rng.choice(("status", "rattanlug-vms", "op", "servers"))
                key = lab.rng.choice(("rollout/service-1", "vm-1", "vm-9", "odd1", "x"))
                lab.store.put(
                    table,
                    key,
                    lab.rng.choice(
                        (
                            b"",
                            b"\xff",
                            b"[" * 60000,
                            b"1e999",
                            b"null",
                            b'{"host": 5}',
                            _encode(
                                _change(lab, {"host": "127.0.0.1", "data_centre": "x"})
                            ),
                        )
                    ),
                )
            await trio.sleep(0.02)
        lab.store.put("op", "config", {**state, "version": "r9000"})
        lab.store.remove("op", "rollout/service-1")
        await trio.sleep(3.0)
        last = len(lab.outcomes)
        await trio.sleep(1.0)
    served = [each.status for each in lab.outcomes[last:]]
    if served.count(200) < len(served) * 0.9:
        lab.breaches.append(f"served {served.count(200)} of {len(served)} afterwards")
    # What is read at a start is read in another way.
    third = await lab.start_daemon(2)
    for each in (daemon, second, third):
        await lab.stop(each)


def _changed_state(lab: lab_module.Lab, state: dict) -> dict:
    changed = _change(lab, state)
    return changed if isinstance(changed, dict) else {}


def _encode(value: object) -> bytes:
    return json.dumps(value).encode("utf-8", "surrogatepass")
