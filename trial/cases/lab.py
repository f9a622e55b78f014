"""One store, a few upstreams and up to three daemons for one case."""

import contextlib
import functools
import json
import os
import pathlib
import random
import re
import resource
import signal
import socket
import subprocess
import sys
import sysconfig
from collections.abc import AsyncIterator, Callable
from typing import Any

import trio

from soak import deployment
from trial import http_server, processes
from trial.cases import outcome, raw_caller, scripted_upstream, store_gate
from trial.shared_platform import boot_file, fleet, store, upstream

FIRST_PORT = 9100
_ROOT = pathlib.Path(__file__).parent.parent.parent
READY_SECONDS = 20.0
# By RULES.md, a request that is not passed on may be closed within this time.
SLACK_SECONDS = 0.2
_NETWORKS = 40 * 256
_TCP_SOCKETS = pathlib.Path("/proc/net/tcp")
# Size of the receive queue of a socket with a local address.
_UNREAD_PATTERN = (
    r": {:08X}:[0-9A-F]{{4}} [0-9A-F:]+ [0-9A-F]{{2}} [0-9A-F]{{8}}:([0-9A-F]{{8}}) "
)
_TAIL_CHARACTERS = 1500
_FAILED_CONNECTION = "connection of a caller failed"


class Daemon:
    """One process of the daemon.

    Parameters
    ----------
    name, host : str
    process : subprocess.Popen
    log : pathlib.Path
    """

    def __init__(
        self, name: str, host: str, process: subprocess.Popen, log: pathlib.Path
    ) -> None:
        self.name, self.host, self.process, self._log = name, host, process, log
        # Whether it has been told to end, and the code that is expected then.
        self.expected: set[int] | None = None

    @property
    def log(self) -> str:
        """What the process has written."""
        return self._log.read_text("utf-8", "replace")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it has not ended."""
        if number in (signal.SIGTERM, signal.SIGINT) and self.expected is None:
            self.expected = {0}
        elif number is signal.SIGKILL:
            self.expected = {-9}
        self.process.send_signal(number)

    async def wait(self, seconds: float) -> int | None:
        """Return the exit code, None if the process still runs."""
        with trio.move_on_after(seconds):
            while self.process.poll() is None:
                await trio.sleep(0.01)
        return self.process.poll()

    def memory_mb(self) -> float:
        """Return the largest resident size so far, MB; 0 if the process has ended."""
        return self._status_mb("VmHWM")

    def private_mb(self) -> float:
        """Return the private memory as of now, MB; 0 if the process has ended."""
        return self._status_mb("RssAnon")

    async def unread_mb(self) -> float:
        """Return the bytes that were received and not read, MB."""
        address = int.from_bytes(socket.inet_aton(self.host), sys.byteorder)
        # The table lists all sockets of the machine, which may take long.
        table = await trio.to_thread.run_sync(_TCP_SOCKETS.read_text)
        queues = re.findall(_UNREAD_PATTERN.format(address), table)
        return sum(int(each, 16) for each in queues) / (1 << 20)

    def _status_mb(self, field: str) -> float:
        with contextlib.suppress(OSError):
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            for line in text.splitlines():
                if line.startswith(field):
                    return int(line.split()[1]) / 1024.0
        return 0.0

    def processor_seconds(self) -> float:
        """Return the processor time used so far, seconds; 0 if it has ended."""
        with contextlib.suppress(OSError):
            text = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
            fields = text.rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        return 0.0


class Lab:
    """Plays one case.

    Parameters
    ----------
    nursery : trio.Nursery
    directory : pathlib.Path
    root : pathlib.Path
        Checkout whose daemon is started.
    rng : random.Random
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        directory: pathlib.Path,
        root: pathlib.Path,
        rng: random.Random,
    ) -> None:
        self.nursery, self.directory, self._root = nursery, directory, root
        self.rng = rng
        self.store = store.Store()
        self.gate = store_gate.StoreGate(0)
        self.upstreams: list[scripted_upstream.ScriptedUpstream] = []
        self.daemons: list[Daemon] = []
        self.outcomes: list[outcome.Outcome] = []
        self.breaches: list[str] = []
        self.notes: list[str] = []
        # Whether connections of callers may fail with an error that is logged.
        self.sends_garbage = False
        # Of the settings files that are written from now on.
        self.bounds: dict[str, float] = {}
        self._requests = 0
        self._version = 2

    async def start(self, upstreams: int = 2) -> None:
        """Start the store and upstreams."""
        self.put_state()
        listeners = await self.nursery.start(
            functools.partial(http_server.serve, "127.0.0.1", 0, self.store.handle)
        )
        self.gate = store_gate.StoreGate(listeners[0].socket.getsockname()[1])
        await self.nursery.start(self.gate.run)
        for _ in range(upstreams):
            await self.add_upstream()

    def put_state(self, **changes: Any) -> None:
        """Write a new desired state."""
        self._version += 1
        state = fleet.desired_state(self._version, **changes)
        self.store.put("op", "config", state)

    def state(self) -> dict[str, Any]:
        """Return a copy of the desired state, to be changed and written."""
        return json.loads(json.dumps(self.store.value("op", "config")))

    async def add_upstream(self) -> scripted_upstream.ScriptedUpstream:
        """Start an upstream and register it."""
        added = scripted_upstream.ScriptedUpstream(f"u{len(self.upstreams)}")
        await self.nursery.start(added.run)
        self.upstreams.append(added)
        self.register(added)
        return added

    def register(
        self, registered: scripted_upstream.ScriptedUpstream, **row: Any
    ) -> None:
        """Write the registration of an upstream."""
        values = {"service": fleet.SERVICE, "data_centre": "north-a", **row}
        address = values.pop("address", f"127.0.0.1:{registered.port}")
        value = upstream.registration(registered, address, **values)
        self.store.put("servers", registered.name, value)

    def host(self, index: int) -> str:
        """Return the loopback address of a VM."""
        network = os.getpid() % _NETWORKS
        return f"127.{200 + network // 256}.{network % 256}.{index + 1}"

    def settings_path(self, index: int) -> pathlib.Path:
        """Return the path of the settings file of a VM."""
        return self.directory / f"vm-{index}.toml"

    def write_settings(self, index: int, **settings: Any) -> None:
        """Write the settings file of a VM."""
        hosts = [self.host(each) for each in range(3)]
        text = boot_file.render(
            f"vm-{index}",
            self.host(index),
            FIRST_PORT,
            self.gate.port,
            **{"seeds": hosts, "bounds": self.bounds, **settings},
        )
        written = self.settings_path(index).with_suffix(".new")
        written.write_text(text)
        written.replace(self.settings_path(index))

    def start_process(
        self,
        index: int = 0,
        limits: dict[int, int] | None = None,
        prepare: Callable[[], None] | None = None,
        standard_error: int | None = None,
        clock: pathlib.Path | None = None,
    ) -> Daemon:
        """Start a process of a VM, whose settings file may not exist yet."""

        def prepare_process() -> None:
            processes.kill_with_parent()
            for number, value in (limits or {}).items():
                resource.setrlimit(number, (value, value))
            if prepare is not None:
                prepare()

        path = self.directory / f"vm-{index}-{len(self.daemons)}.log"
        libraries = sysconfig.get_path("purelib")
        python_path = (str(self._root / "src"), str(_ROOT), libraries)
        arguments = deployment.daemon_arguments(self._root)
        if clock is not None:
            # Its time of day follows what the file says.
            arguments = ["-S", "-m", "soak.stepped_clock", str(clock)]
        with path.open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log if standard_error is None else standard_error,
                env={
                    "PATH": os.environ["PATH"],
                    "LANG": "C.UTF-8",
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "PYTHONPATH": os.pathsep.join(python_path),
                    "RATTANLUG_BOOT": str(self.settings_path(index)),
                },
                start_new_session=True,
                preexec_fn=prepare_process,
            )
        started = Daemon(f"vm-{index}", self.host(index), process, path)
        self.daemons.append(started)
        return started

    async def start_daemon(self, index: int = 0, **settings: Any) -> Daemon:
        """Write the settings of a VM, start it and wait until it is ready."""
        self.write_settings(index, **settings)
        started = self.start_process(index)
        await self.wait_ready(started)
        return started

    async def wait_ready(
        self, daemon: Daemon, seconds: float = READY_SECONDS
    ) -> float | None:
        """Return how long a VM took to get ready; None, and a breach, if it did not."""
        began = trio.current_time()
        while trio.current_time() - began < seconds:
            if await self.readiness(daemon) == 200:
                return trio.current_time() - began
            if daemon.process.poll() is not None:
                break
            await trio.sleep(0.05)
        self.breaches.append(f"{daemon.name} not ready within {seconds:g} s")
        return None

    async def readiness(self, daemon: Daemon) -> int:
        """Return the status of the readiness check, 0 without an answer."""
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            found = await self.call(
                daemon, b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", FIRST_PORT + 1, 1.0
            )
            return found.status
        return 0

    async def call(
        self, daemon: Daemon, data: bytes, port: int, timeout_seconds: float = 3.0
    ) -> outcome.Outcome:
        """Send bytes on a connection of their own and read one response."""
        with trio.fail_after(timeout_seconds + 2.0):
            stream = await trio.open_tcp_stream(daemon.host, port)
        caller = raw_caller.RawCaller(stream)
        try:
            await caller.send(data)
            return await caller.receive("GET", "", timeout_seconds)
        finally:
            await caller.aclose()

    async def connect(self, daemon: Daemon) -> raw_caller.RawCaller:
        """Return a connection of a caller.

        Raises
        ------
        OSError
        """
        stream = await trio.open_tcp_stream(daemon.host, FIRST_PORT)
        return raw_caller.RawCaller(stream)

    def next_id(self) -> str:
        """Return an identifier for a request."""
        self._requests += 1
        return f"r{self._requests:08x}"

    async def send(
        self,
        caller: raw_caller.RawCaller,
        path: str = "/view/1",
        body: bytes = b"",
        method: str = "GET",
        deadline_ms: int = 1500,
    ) -> outcome.Outcome:
        """Send one request and record its outcome."""
        request_id = self.next_id()
        lines = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        try:
            await caller.send(
                raw_caller.head(method, path, request_id, deadline_ms, lines=lines)
                + body
            )
        except trio.BrokenResourceError:
            # The close crossed the request.
            return outcome.Outcome(0, "not sent", 0.0, request_id)
        found = await caller.receive(method, request_id, deadline_ms / 1000.0 + 1.5)
        self.outcomes.append(found)
        return found

    def has_begun(self, request_id: str) -> bool:
        """Return whether an upstream has read a request."""
        return any(request_id in each.begun for each in self.upstreams)

    def judge(self) -> None:
        """Record the requests that should have been answered, and ends of processes."""
        lost = []
        for each in self.outcomes:
            has_run = self.has_begun(each.request_id)
            if each.failure and (has_run or each.seconds > SLACK_SECONDS):
                lost.append((each, has_run))
        for each, has_run in lost[:3]:
            self.breaches.append(
                f"{each.request_id} {each.failure} after {each.seconds:.2f} s, "
                f"passed on: {has_run}"
            )
        if len(lost) > 3:
            self.breaches.append(f"{len(lost)} requests without an answer in all")
        for each in self.daemons:
            code = each.process.poll()
            if code is not None and code not in (each.expected or set()):
                self.breaches.append(f"{each.name} ended with {code}")
            errors = [
                line
                for line in each.log.splitlines()
                if "Traceback" in line or "unexpected error" in line
            ]
            if self.sends_garbage:
                failed = [line for line in errors if _FAILED_CONNECTION in line]
                self.notes += [
                    f"a connection failed: {_reason(line)}" for line in failed
                ]
                errors = [line for line in errors if _FAILED_CONNECTION not in line]
            self.breaches += [f"{each.name}: {line[-900:]}" for line in errors[:2]]
            if each.memory_mb() > 300.0:
                self.breaches.append(f"{each.name} used {each.memory_mb():.0f} MB")

    async def stop(self, daemon: Daemon, seconds: float = 8.0) -> None:
        """Stop a VM and expect that it ends with code 0 within the grace period."""
        daemon.signal(signal.SIGTERM)
        if await daemon.wait(seconds) is None:
            self.breaches.append(
                f"{daemon.name} has not ended {seconds:g} s after stop"
            )

    def end(self) -> None:
        """Kill the processes that still run."""
        for each in self.daemons:
            if each.process.poll() is None:
                each.process.kill()
            each.process.wait()

    @contextlib.asynccontextmanager
    async def traffic(
        self,
        daemons: list[Daemon],
        callers: int = 6,
        path: str = "",
        pause_seconds: float = 0.02,
        keeps: bool | None = None,
        body: bytes = b"",
    ) -> AsyncIterator[None]:
        """Send requests of several callers until the context ends, then await them."""
        stop = trio.Event()

        async def run(number: int) -> None:
            kept: raw_caller.RawCaller | None = None
            while not stop.is_set():
                kept = await self._send_on(
                    kept,
                    daemons,
                    number,
                    path,
                    number % 2 == 0 if keeps is None else keeps,
                    body,
                )
                await trio.sleep(pause_seconds * (0.5 + self.rng.random()))
            if kept is not None:
                await kept.aclose()

        async with trio.open_nursery() as nursery:
            for number in range(callers):
                nursery.start_soon(run, number)
            yield
            stop.set()

    async def _send_on(
        self,
        kept: raw_caller.RawCaller | None,
        daemons: list[Daemon],
        number: int,
        path: str,
        keeps: bool,
        body: bytes,
    ) -> raw_caller.RawCaller | None:
        if kept is None:
            try:
                kept = await self.connect(self.rng.choice(daemons))
            except OSError:
                return None
        is_order = number % 3 == 0 and not path
        found = await self.send(
            kept,
            path or ("/claim/1" if is_order else "/view/1"),
            body or (b"x" * 20 if is_order else b""),
            "POST" if is_order or body else "GET",
        )
        if keeps and found.status and not found.closes:
            return kept
        await kept.aclose()
        return None


def tail(daemon: Daemon) -> str:
    """Return the end of a log."""
    return daemon.log[-_TAIL_CHARACTERS:]


def _reason(line: str) -> str:
    """Return the last line of the traceback in a log line."""
    lines = str(json.loads(line).get("exc_info")).splitlines()
    reasons = [each for each in lines if "Error: " in each]
    return reasons[-1].strip(" |") if reasons else "unknown"
