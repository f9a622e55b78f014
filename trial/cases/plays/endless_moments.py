"""Cases of bytes without end at certain moments, at certain paces and places."""

import contextlib
import itertools
import signal
from collections.abc import Callable, Sequence

import trio

from trial.cases import lab as lab_module
from trial.cases import measured, raw_caller, registry, scripted_upstream
from trial.cases.plays import endless
from trial.shared_platform import boot_file, endless_response

_UPSTREAMS = 6
_FAULTY = 3
_CALLERS = 60
_PAUSE_SECONDS = 0.1
_CALM_SECONDS = 1.0
_FAULT_SECONDS = 2.0
_RELOAD_SECONDS = 0.2
_WORK_SECONDS = 0.3
_GRACE_SECONDS = float(boot_file.BOUNDS["grace_s"])
# Share of a processor of a small VM, which is played as in `soak.small_vm`.
_SMALL_SHARE = 0.35
_PERIOD_SECONDS = 0.1
# Pace of an upstream that sends slowly.
_SLOW_UPSTREAMS = 24
_BLOCK_PAUSE_SECONDS = 0.002
_CHUNK_PAUSE_SECONDS = 0.02
# Callers that read slowly.
_LARGE_BODY = b"y" * 500_000
_READ_BYTES = 4096
_READ_PAUSE_SECONDS = 0.02
_RECEIVE_BUFFER_BYTES = 8192
_SLOW_CALLERS = 20
# Of the longer play.
_REPEATED_SECONDS = 60.0
_QUIET_SECONDS = 5.0
_MAX_LEFT_MB = 0.1 * measured.MEMORY_MB
_MAX_COST_RATIO = 1.5

_CHUNKED = "Transfer-Encoding: chunked\r\n"
_CHUNKS = endless_response.Form(_CHUNKED, b"", b"400\r\n" + b"x" * 1024 + b"\r\n")
_SMALL_CHUNKS = endless_response.Form(_CHUNKED, b"", b"40\r\n" + b"x" * 64 + b"\r\n")
_SLOW_FORMS = {
    "chunks": _CHUNKS,
    **{
        each: endless_response.FORMS[each]
        for each in (
            "header_line",
            "one_chunk",
            "one_byte_chunks",
            "told_length_100_megabytes",
            "no_length",
            "pieces_of_an_event",
            "whole_events",
        )
    },
}
# Head lines of responses that have no body.
_EMPTY_LINES = {
    "no_length": "",
    "told_length": "Content-Length: 100000000\r\n",
    "chunked": _CHUNKED,
}
_IDENTIFIED = b"Rattanlug-Request-Id: %b\r\n"
_INTERIM = {
    "continue": b"HTTP/1.1 100 Continue\r\n\r\n",
    "processing": b"HTTP/1.1 102 X\r\n" + _IDENTIFIED + b"\r\n",
    "hints": b"HTTP/1.1 103 X\r\nLink: </x>\r\n" + _IDENTIFIED + b"\r\n",
}
_AFTER = {
    "bytes": b"x",
    "line_ends": b"\r\n",
    "responses": b"HTTP/1.1 200 X\r\n" + _IDENTIFIED + b"Content-Length: 2\r\n\r\nok",
    "unidentified": b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok",
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n",
}
_EARLIER = {
    "small": b"HTTP/1.1 200 X\r\n" + _IDENTIFIED + b"Content-Length: 2\r\n\r\nok",
    "empty": b"HTTP/1.1 204 X\r\n" + _IDENTIFIED + b"\r\n",
    "large": b"HTTP/1.1 200 X\r\n"
    + _IDENTIFIED
    + b"Content-Length: 60000\r\n\r\n"
    + b"x" * 60_000,
    "told_terabyte": b"HTTP/1.1 200 X\r\n"
    + _IDENTIFIED
    + b"Content-Length: 1000000000000\r\n\r\n"
    + b"x" * 65_536,
    "one_byte_chunks": b"HTTP/1.1 200 X\r\n"
    + _IDENTIFIED
    + _CHUNKED.encode()
    + b"\r\n"
    + b"1\r\nx\r\n" * 10_000,
}


def _mixed(
    lab: lab_module.Lab, forms: Sequence[endless_response.Form]
) -> scripted_upstream.Script:
    """Return a script that plays a random form with a random status."""
    scripts = [
        endless.endless_script(form, status)
        for form in forms
        for status in endless_response.STATUSES
    ]

    async def script(
        upstream: scripted_upstream.ScriptedUpstream,
        stream: trio.SocketStream,
        received: scripted_upstream.Received,
    ) -> bool:
        return await lab.rng.choice(scripts)(upstream, stream, received)

    return script


def _all_forms(lab: lab_module.Lab) -> scripted_upstream.Script:
    return _mixed(lab, list(endless_response.FORMS.values()))


def _repeat(
    head: Callable[[scripted_upstream.Received], bytes], repeated: bytes
) -> scripted_upstream.Script:
    """Return a script that sends a head, then bytes that name the request."""

    async def script(
        upstream: scripted_upstream.ScriptedUpstream,
        stream: trio.SocketStream,
        received: scripted_upstream.Received,
    ) -> bool:
        with contextlib.suppress(trio.BrokenResourceError):
            await upstream.read_body(stream, received)
            await stream.send_all(head(received))
            await _send_forever(stream, repeated, received.request_id)
        return False

    return script


async def _send_forever(
    stream: trio.SocketStream, repeated: bytes, request_id: str
) -> None:
    form = endless_response.Form("", b"", repeated.replace(b"%b", request_id.encode()))
    block = form.block
    while True:
        await stream.send_all(block)


async def _start(
    lab: lab_module.Lab,
    upstreams: int = _UPSTREAMS,
    daemons: int = 1,
    **limits: float,
) -> list[lab_module.Daemon]:
    await lab.start(upstreams)
    values = {"memory_mb": measured.MEMORY_MB, **limits}
    return [await lab.start_daemon(each, limits=values) for each in range(daemons)]


async def _end(lab: lab_module.Lab, daemons: Sequence[lab_module.Daemon]) -> None:
    for each in daemons:
        if await lab.readiness(each) != 200:
            lab.breaches.append(f"{each.name} not ready afterwards")
        await lab.stop(each, _GRACE_SECONDS)


async def _play_scripts(
    lab: lab_module.Lab,
    scripts: dict[str, scripted_upstream.Script],
    faulty: int = _FAULTY,
    upstreams: int = _UPSTREAMS,
    seconds: float = _FAULT_SECONDS,
) -> None:
    """Play scripts one after the other beside traffic, then stop."""
    daemons = await _start(lab, upstreams)
    readings = measured.Measured(lab, daemons)
    async with (
        readings.run(),
        lab.traffic(daemons, _CALLERS, keeps=True, pause_seconds=_PAUSE_SECONDS),
    ):
        await trio.sleep(_CALM_SECONDS)
        for name, script in scripts.items():
            with readings.fault(name, script, lab.upstreams[:faulty]):
                await trio.sleep(seconds)
            await readings.calm(_CALM_SECONDS)
    await _end(lab, daemons)


def _judge_ready_answers(lab: lab_module.Lab) -> None:
    """Record answers of sound upstreams that callers did not get."""
    finished = set().union(*(each.finished for each in lab.upstreams))
    kept = [
        each
        for each in lab.outcomes
        if each.request_id in finished and each.status != 200
    ]
    if kept:
        counts: dict[str, int] = {}
        for each in kept:
            name = each.failure or str(each.status)
            counts[name] = counts.get(name, 0) + 1
        lab.breaches.append(f"ready answers that callers did not get: {counts}")


@registry.case
async def long_endless_stops(lab: lab_module.Lab) -> None:
    """SIGTERM while half of the upstreams send without end, once for each form."""
    await lab.start(_UPSTREAMS)
    for each in lab.upstreams[_FAULTY:]:
        each.work_seconds = _WORK_SECONDS
    lab.write_settings(0, limits={"memory_mb": measured.MEMORY_MB})
    scripts = {
        name: endless.endless_script(form, 200)
        for name, form in endless_response.FORMS.items()
    }
    scripts["all_forms"] = _all_forms(lab)
    for name, script in scripts.items():
        daemon = lab.start_process(0)
        await lab.wait_ready(daemon)
        readings = measured.Measured(lab, [daemon])
        async with (
            readings.run(),
            lab.traffic([daemon], _CALLERS, keeps=True, pause_seconds=_PAUSE_SECONDS),
        ):
            await trio.sleep(0.3)
            with readings.fault(name, script, lab.upstreams[:_FAULTY]):
                await trio.sleep(0.5)
                began = trio.current_time()
                daemon.signal(signal.SIGTERM)
                code = await daemon.wait(_GRACE_SECONDS)
            lab.notes.append(f"ended after {trio.current_time() - began:.2f} s")
            if code is None:
                lab.breaches.append(f"{name}: not ended within the grace period")
    _judge_ready_answers(lab)


@registry.case
async def long_endless_reloads(lab: lab_module.Lab) -> None:
    """SIGHUP each 0.2 s while half of the upstreams, then all, send without end."""
    daemons = await _start(lab)
    readings = measured.Measured(lab, daemons)
    async with (
        readings.run(),
        lab.traffic(daemons, _CALLERS, keeps=True, pause_seconds=_PAUSE_SECONDS),
    ):
        await trio.sleep(_CALM_SECONDS)
        for count in (_FAULTY, _UPSTREAMS):
            script = _all_forms(lab)
            with readings.fault(f"{count}", script, lab.upstreams[:count]):
                for _ in range(25):
                    daemons[0].signal(signal.SIGHUP)
                    await trio.sleep(_RELOAD_SECONDS)
            await readings.calm(_CALM_SECONDS)
    await _end(lab, daemons)
    _judge_ready_answers(lab)


@registry.case
async def long_endless_starts(lab: lab_module.Lab) -> None:
    """Start while all upstreams send without end, and callers press."""
    await lab.start(_UPSTREAMS)
    lab.write_settings(0, limits={"memory_mb": measured.MEMORY_MB})
    for name in ("sound", *endless_response.FORMS):
        script = scripted_upstream.answer
        if name != "sound":
            script = endless.endless_script(endless_response.FORMS[name], 200)
        daemon = lab.start_process(0)
        readings = measured.Measured(lab, [daemon])
        async with (
            readings.run(),
            lab.traffic([daemon], _CALLERS, keeps=True, pause_seconds=_PAUSE_SECONDS),
        ):
            with readings.fault(name, script, lab.upstreams):
                waited = await lab.wait_ready(daemon)
                await trio.sleep(0.5)
            lab.notes.append(f"ready after {waited or -1.0:.2f} s")
            await readings.calm(_CALM_SECONDS)
        await _end(lab, [daemon])


@registry.case
async def long_endless_three_daemons(lab: lab_module.Lab) -> None:
    """Play each form, paced, against three daemons that know each other."""
    daemons = await _start(lab, daemons=3)
    readings = measured.Measured(lab, daemons)
    async with (
        readings.run(),
        lab.traffic(daemons, 2 * _CALLERS, keeps=True, pause_seconds=_PAUSE_SECONDS),
    ):
        await trio.sleep(_CALM_SECONDS)
        for name, form in endless_response.FORMS.items():
            script = endless.endless_script(
                form, 200, pause_seconds=_BLOCK_PAUSE_SECONDS
            )
            with readings.fault(name, script, lab.upstreams):
                await trio.sleep(_FAULT_SECONDS)
            await readings.calm(_CALM_SECONDS)
    await _end(lab, daemons)


async def _limit_processor(daemon: lab_module.Daemon, share: float) -> None:
    """Suspend a process in each period, until cancelled."""
    try:
        while True:
            daemon.process.send_signal(signal.SIGSTOP)
            await trio.sleep((1.0 - share) * _PERIOD_SECONDS)
            daemon.process.send_signal(signal.SIGCONT)
            await trio.sleep(share * _PERIOD_SECONDS)
    finally:
        daemon.process.send_signal(signal.SIGCONT)


@registry.case
async def long_endless_small_vm(lab: lab_module.Lab) -> None:
    """Play each form from one upstream and from all against 0.35 of a processor."""
    daemons = await _start(lab, cpu_share=_SMALL_SHARE)
    readings = measured.Measured(lab, daemons)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_limit_processor, daemons[0], _SMALL_SHARE)
        async with (
            readings.run(),
            lab.traffic(daemons, 20, keeps=True, pause_seconds=4 * _PAUSE_SECONDS),
        ):
            with readings.fault("sound", scripted_upstream.answer, lab.upstreams):
                await trio.sleep(_FAULT_SECONDS)
            for name, form in endless_response.FORMS.items():
                for count in (1, _UPSTREAMS):
                    script = endless.endless_script(form, 200)
                    upstreams = lab.upstreams[:count]
                    with readings.fault(f"{name} from {count}", script, upstreams):
                        await trio.sleep(_FAULT_SECONDS)
                    await readings.calm(_CALM_SECONDS)
        nursery.cancel_scope.cancel()
    await _end(lab, daemons)


@registry.case
async def long_endless_slow_blocks(lab: lab_module.Lab) -> None:
    """24 upstreams send 64 kB each 2 ms on each connection."""
    scripts = {
        name: endless.endless_script(form, 200, pause_seconds=_BLOCK_PAUSE_SECONDS)
        for name, form in _SLOW_FORMS.items()
    }
    await _play_scripts(lab, scripts, _SLOW_UPSTREAMS, _SLOW_UPSTREAMS)


@registry.case
async def long_endless_slow_chunks(lab: lab_module.Lab) -> None:
    """24 upstreams send one chunk each 20 ms on each connection."""
    scripts = {
        name: endless.endless_script(form, 200, form.repeated, _CHUNK_PAUSE_SECONDS)
        for name, form in _SLOW_FORMS.items()
    }
    await _play_scripts(lab, scripts, _SLOW_UPSTREAMS, _SLOW_UPSTREAMS)


async def _read_slowly(
    lab: lab_module.Lab, daemon: lab_module.Daemon, counts: dict[str, int]
) -> None:
    """Send requests and read large responses in small pieces, until cancelled.

    Parameters
    ----------
    lab : lab_module.Lab
    daemon : lab_module.Daemon
    counts : dict
        Counts the responses that were whole, and others.
    """
    while True:
        raw = trio.socket.socket()
        raw.setsockopt(
            trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        received = 0
        stream = trio.SocketStream(raw)
        async with stream:
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                await raw.connect((daemon.host, lab_module.FIRST_PORT))
                head = raw_caller.head(
                    "GET", "/view/1", lab.next_id(), lines="Connection: close\r\n"
                )
                await stream.send_all(head)
                while data := await stream.receive_some(_READ_BYTES):
                    received += len(data)
                    await trio.sleep(_READ_PAUSE_SECONDS)
        counts["whole" if received > len(_LARGE_BODY) else "other"] += 1


@registry.case
async def long_endless_slow_callers(lab: lab_module.Lab) -> None:
    """Callers read bodies of 500 kB slowly while half of the upstreams are faulty."""
    daemons = await _start(lab)
    for each in lab.upstreams:
        each.body = _LARGE_BODY
    readings = measured.Measured(lab, daemons)
    async with trio.open_nursery() as nursery:
        counts = {"whole": 0, "other": 0}
        for _ in range(_SLOW_CALLERS):
            nursery.start_soon(_read_slowly, lab, daemons[0], counts)
        async with (
            readings.run(),
            lab.traffic(daemons, 20, keeps=True, pause_seconds=2 * _PAUSE_SECONDS),
        ):
            with readings.fault("sound", scripted_upstream.answer, lab.upstreams):
                await trio.sleep(_FAULT_SECONDS)
            for name, form in endless_response.FORMS.items():
                script = endless.endless_script(form, 200)
                with readings.fault(name, script, lab.upstreams[:_FAULTY]):
                    await trio.sleep(_FAULT_SECONDS)
                await readings.calm(_CALM_SECONDS)
        nursery.cancel_scope.cancel()
    lab.notes.append(f"slow callers {counts}")
    await _end(lab, daemons)


@registry.case
async def long_endless_after_empty_responses(lab: lab_module.Lab) -> None:
    """Bytes without end after responses of status 204 and 304, which have no body."""
    scripts = {
        f"{status} {name}": endless.endless_script(
            endless_response.Form(lines, b"", b"x"), status
        )
        for status in (204, 304)
        for name, lines in _EMPTY_LINES.items()
    }
    await _play_scripts(lab, scripts)


@registry.case
async def long_endless_after_head(lab: lab_module.Lab) -> None:
    """Bytes without end after responses to HEAD, beside other traffic."""
    daemons = await _start(lab)
    readings = measured.Measured(lab, daemons)

    async def ask() -> None:
        while True:
            with contextlib.suppress(OSError):
                caller = await lab.connect(daemons[0])
                await lab.send(caller, method="HEAD")
                await caller.aclose()
            await trio.sleep(_PAUSE_SECONDS)

    async with trio.open_nursery() as nursery:
        for _ in range(_CALLERS // 2):
            nursery.start_soon(ask)
        async with (
            readings.run(),
            lab.traffic(daemons, 20, keeps=True, pause_seconds=_PAUSE_SECONDS),
        ):
            for name, lines in _EMPTY_LINES.items():
                form = endless_response.Form(lines, b"", b"x")
                for status in endless_response.STATUSES:
                    script = endless.endless_script(form, status)
                    with readings.fault(
                        f"{status} {name}", script, lab.upstreams[:_FAULTY]
                    ):
                        await trio.sleep(_FAULT_SECONDS)
                    await readings.calm(_CALM_SECONDS)
        nursery.cancel_scope.cancel()
    await _end(lab, daemons)


@registry.case
async def long_endless_after_responses(lab: lab_module.Lab) -> None:
    """Bytes without end after a complete response on a kept connection."""

    def after(repeated: bytes) -> scripted_upstream.Script:
        async def script(
            upstream: scripted_upstream.ScriptedUpstream,
            stream: trio.SocketStream,
            received: scripted_upstream.Received,
        ) -> bool:
            with contextlib.suppress(trio.BrokenResourceError):
                await scripted_upstream.answer(upstream, stream, received)
                await _send_forever(stream, repeated, received.request_id)
            return False

        return script

    def after_chunks(received: scripted_upstream.Received) -> bytes:
        form = endless_response.Form(_CHUNKED, b"2\r\nok\r\n0\r\n\r\n", b"")
        return form.head(200, received.request_id)

    scripts = {name: after(repeated) for name, repeated in _AFTER.items()}
    scripts["bytes_after_chunks"] = _repeat(after_chunks, b"x")
    scripts["trailers"] = _repeat(
        lambda received: after_chunks(received)[: -len("\r\n")], b"X: y\r\n"
    )
    await _play_scripts(lab, scripts)


@registry.case
async def long_endless_on_idle_connections(lab: lab_module.Lab) -> None:
    """Bytes without end on kept connections, after complete responses, at rest."""
    daemons = await _start(lab)
    readings = measured.Measured(lab, daemons)
    opened: set[trio.SocketStream] = set()
    begin = trio.Event()

    async def script(
        upstream: scripted_upstream.ScriptedUpstream,
        stream: trio.SocketStream,
        received: scripted_upstream.Received,
    ) -> bool:
        await trio.sleep(_WORK_SECONDS)
        await scripted_upstream.answer(upstream, stream, received)
        if stream not in opened:
            opened.add(stream)
            lab.nursery.start_soon(send, stream)
        return True

    async def send(stream: trio.SocketStream) -> None:
        await begin.wait()
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await _send_forever(stream, b"x", "")

    async with readings.run():
        with readings.fault("while idle", script, lab.upstreams):
            async with lab.traffic(daemons, 2 * _CALLERS, keeps=True):
                await trio.sleep(2 * _WORK_SECONDS)
            lab.notes.append(f"{len(opened)} connections")
            begin.set()
            await trio.sleep(_FAULT_SECONDS)
        async with lab.traffic(daemons, _CALLERS, pause_seconds=_PAUSE_SECONDS):
            await readings.calm(_CALM_SECONDS)
    await _end(lab, daemons)


@registry.case
async def long_endless_interim_responses(lab: lab_module.Lab) -> None:
    """Interim responses without end."""
    scripts = {
        name: _repeat(lambda received: b"", repeated)
        for name, repeated in _INTERIM.items()
    }
    await _play_scripts(lab, scripts, _UPSTREAMS)


async def _interim_from_all(lab: lab_module.Lab, share: float) -> None:
    daemons = await _start(lab, cpu_share=share)
    readings = measured.Measured(lab, daemons)
    async with trio.open_nursery() as nursery:
        if share < 1.0:
            nursery.start_soon(_limit_processor, daemons[0], share)
        async with (
            readings.run(),
            lab.traffic(
                daemons, 2 * _CALLERS, keeps=True, pause_seconds=_PAUSE_SECONDS / share
            ),
        ):
            await trio.sleep(_CALM_SECONDS)
            for name, repeated in _INTERIM.items():
                script = _repeat(lambda received: b"", repeated)
                with readings.fault(name, script, lab.upstreams):
                    await trio.sleep(_FAULT_SECONDS)
                await readings.calm(_CALM_SECONDS)
        nursery.cancel_scope.cancel()
    await _end(lab, daemons)


@registry.case
async def long_endless_interim_to_many(lab: lab_module.Lab) -> None:
    """Interim responses without end from all upstreams, for 120 callers."""
    await _interim_from_all(lab, 1.0)


@registry.case
async def long_endless_interim_small_vm(lab: lab_module.Lab) -> None:
    """Interim responses without end against 0.35 of a processor."""
    await _interim_from_all(lab, _SMALL_SHARE)


@registry.case
async def long_endless_earlier_responses(lab: lab_module.Lab) -> None:
    """Responses without end to the request before on the same connection."""

    def earlier(repeated: bytes) -> scripted_upstream.Script:
        last: dict[trio.SocketStream, str] = {}

        async def script(
            upstream: scripted_upstream.ScriptedUpstream,
            stream: trio.SocketStream,
            received: scripted_upstream.Received,
        ) -> bool:
            if stream not in last:
                last[stream] = received.request_id
                return await scripted_upstream.answer(upstream, stream, received)
            with contextlib.suppress(trio.BrokenResourceError):
                await upstream.read_body(stream, received)
                await _send_forever(stream, repeated, last.pop(stream))
            return False

        return script

    scripts = {name: earlier(repeated) for name, repeated in _EARLIER.items()}
    await _play_scripts(lab, scripts, _UPSTREAMS)


@registry.case
async def long_endless_small_chunks(lab: lab_module.Lab) -> None:
    """Chunks of 64 bytes, of which a body may have any number, from all upstreams."""
    scripts = {
        f"{status}": endless.endless_script(_SMALL_CHUNKS, status)
        for status in endless_response.STATUSES
    }
    await _play_scripts(lab, scripts, _UPSTREAMS)


@registry.case
async def long_endless_two_forms(lab: lab_module.Lab) -> None:
    """Two forms at a time, from all upstreams."""
    names = (
        ("one_chunk", "one_byte_chunks"),
        ("told_length_100_megabytes", "whole_events"),
        ("no_length", "pieces_of_an_event"),
        ("header_line", "one_byte_chunks"),
        ("chunk_size_junk", "told_length_terabyte"),
    )
    scripts = {
        " and ".join(each): _mixed(lab, [endless_response.FORMS[name] for name in each])
        for each in names
    }
    await _play_scripts(lab, scripts, _UPSTREAMS)


@registry.case
async def long_endless_minute(lab: lab_module.Lab) -> None:
    """Faults of all forms for 60 s, then 5 s of calm, as before."""
    daemons = await _start(lab)
    readings = measured.Measured(lab, daemons)

    async def cost() -> tuple[float, float]:
        """Return the private memory, MB, and milliseconds of processor a request."""
        first, processor = len(lab.outcomes), readings.processor_seconds
        await trio.sleep(_QUIET_SECONDS)
        served = sum(each.status == 200 for each in lab.outcomes[first:])
        used = readings.processor_seconds - processor
        return daemons[0].private_mb(), 1000.0 * used / max(served, 1)

    async with (
        readings.run(),
        lab.traffic(daemons, _CALLERS, keeps=True, pause_seconds=_PAUSE_SECONDS),
    ):
        before_mb, before_ms = await cost()
        forms = itertools.cycle(endless_response.FORMS.items())
        end = trio.current_time() + _REPEATED_SECONDS
        while trio.current_time() < end:
            name, form = next(forms)
            count = lab.rng.choice((1, _FAULTY, _UPSTREAMS))
            status = lab.rng.choice(endless_response.STATUSES)
            script = endless.endless_script(form, status)
            with readings.fault(
                f"{name} {status} from {count}", script, lab.upstreams[:count]
            ):
                await trio.sleep(_FAULT_SECONDS)
            await trio.sleep(_CALM_SECONDS)
        after_mb, after_ms = await cost()
    lab.notes.append(
        f"{before_mb:.0f} MB and {before_ms:.2f} ms a request before, "
        f"{after_mb:.0f} MB and {after_ms:.2f} ms after"
    )
    if after_mb > before_mb + _MAX_LEFT_MB:
        lab.breaches.append(f"{after_mb - before_mb:.0f} MB more than before")
    if after_ms > _MAX_COST_RATIO * before_ms:
        lab.breaches.append(f"{after_ms:.2f} ms a request, {before_ms:.2f} before")
    await _end(lab, daemons)
