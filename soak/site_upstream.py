"""An upstream with slots, a bounded queue and a slow, limited start."""

import collections
import contextlib
import random
from collections.abc import Iterator
from typing import NamedTuple, NoReturn

import trio

from soak import proxy, sites
from trial.shared_platform import endless_response, upstream

_HEAD_END = b"\r\n\r\n"
_READ_BYTES = 65536
# A slot-time that lies further from the mean is cut.
_SPREAD = 0.15
_COLD_FACTOR = 2.0
_CACHED_FACTOR = 0.7
_IDLE_SECONDS = 10.0
# Time after a response at which it is written a second time on an idle connection.
_REPEAT_SECONDS = 0.05
# Longest pause between two parts of a response.
_PAUSE_SECONDS = 0.05
# Blocks of endless responses that a process begins to send in one iteration of its
# event loop, so that all else that it plays gets its turn.
_MAX_BLOCKS = 8
_turns = trio.CapacityLimiter(_MAX_BLOCKS)


class Endless(NamedTuple):
    """A response that is sent until the peer closes the connection.

    Attributes
    ----------
    form : str
        Name in `endless_response.FORMS`.
    status : int
    """

    form: str
    status: int


class Arrival(NamedTuple):
    """A request that reached an upstream, also one that it refused.

    Attributes
    ----------
    request_id : str
    at : float
        On Trio's clock, seconds.
    cold_for : float or None
        Time for which the upstream had been cold; None if it was not.
    reported : bool
        Whether it had reported that it was cold.
    """

    request_id: str
    at: float
    cold_for: float | None
    reported: bool = True


class SiteUpstream:
    """Executes requests of a site's service.

    Faults are set by a run: ``fault`` is one of ``short``, ``close``, ``cut`` (which
    ends a response in its head), ``duplicate``, ``stray``, ``late`` (which repeats a
    response after a moment) and ``again`` (which repeats each refusal before the next
    response); ``share`` is the share of the responses with that fault. ``endless``,
    unless None, is what it sends to each request in the place of a response.

    Parameters
    ----------
    name : str
    service : sites.Service
    routes : tuple of sites.Route
    rng : random.Random
    gate : proxy.Gate, optional
        Of its connections, if no proxy is before it.
    """

    def __init__(
        self,
        name: str,
        service: sites.Service,
        routes: tuple[sites.Route, ...],
        rng: random.Random,
        gate: proxy.Gate | None = None,
    ) -> None:
        self._gate = gate or proxy.Gate()
        self.name = name
        self.service = service
        self.slots = service.slots
        self.executions: list[upstream.Execution] = []
        self.arrivals: list[Arrival] = []
        # Requests whose response it did not send in full.
        self.broken_off: set[str] = set()
        # Those of them to which it sent without end.
        self.sent_endlessly: set[str] = set()
        self.refused = 0
        self.cold_periods = 0
        self.cold_reported = True
        self.endless: Endless | None = None
        self.endless_bytes = 0
        self.fault = ""
        self.share = 1.0
        self.slowness = 1.0
        # Share of the responses that are sent in two parts; length of their bodies.
        self.parted = 0.0
        self.response_bytes = 0
        self._work = {f"/{each.name}/": each.work_seconds for each in routes}
        self._rng = rng
        self._slots = trio.CapacityLimiter(service.slots)
        self._cached: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._cold_since = float("-inf")
        self._cold_until = float("-inf")
        self._scope = trio.CancelScope()

    @property
    def has_crashed(self) -> bool:
        """Whether it has crashed."""
        return self._scope.cancel_called

    @property
    def cold_limit(self) -> float:
        """Requests per second that it tolerates while it is cold."""
        return self.service.warmup_rate

    def turn_cold(self, reported: bool) -> None:
        """Become slow, and limited, for the warm-up time; forget all objects."""
        self.cold_reported = reported
        self.cold_periods += 1
        self._cold_since = trio.current_time()
        self._cold_until = self._cold_since + self.service.warmup_seconds
        self._cached.clear()

    def cold_left(self) -> float:
        """Return the time until it is warm, in seconds."""
        return max(0.0, self._cold_until - trio.current_time())

    def crash(self) -> None:
        """End all connections and the work on them, and stop listening."""
        self._scope.cancel()

    async def run(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled or crashed; report the port, any one by default."""
        with self._scope:
            listeners = await trio.open_tcp_listeners(port, host=host)
            task_status.started(listeners[0].socket.getsockname()[1])
            await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = _Connection(stream, self._gate)
        self._gate.connected(stream)
        try:
            while True:
                with trio.move_on_after(_IDLE_SECONDS) as idle:
                    request = await connection.read()
                if idle.cancelled_caught or request is None:
                    return
                if not await self._respond(connection, request):
                    return
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # The VM reset the connection, or the proxy or gate did.
            pass
        finally:
            self._gate.closed(stream)
            await trio.aclose_forcefully(stream)

    async def _respond(self, connection: "_Connection", request: "_Request") -> bool:
        """Answer one request; return whether the connection stays open."""
        data = None
        with self._noting_crash(request):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.watch, nursery.cancel_scope)
                data = await self._answer(request)
                nursery.cancel_scope.cancel()
        if data is None:
            return False
        if self.endless:
            await self._send_endlessly(connection, request, self.endless)
        fault = self.fault if self._rng.random() < self.share else ""
        if fault == "again":
            pending, connection.pending = connection.pending, b""
            if b"Rattanlug-Not-Executed" in data:
                connection.pending = data
            await connection.send(pending + data)
            return True
        if fault in ("short", "close", "cut"):
            self.broken_off.add(request.request_id)
            end = {"short": len(data) - 3, "close": 0, "cut": data.find(_HEAD_END) - 5}
            await connection.send(data[: end[fault]])
            return False
        if self.parted and not fault and self._rng.random() < self.parted:
            length = self._rng.randrange(1, len(data))
            await connection.send(data[:length])
            with self._noting_crash(request):
                await trio.sleep(self._rng.uniform(0.0, _PAUSE_SECONDS))
            data = data[length:]
        await connection.send(data * (2 if fault in ("duplicate", "stray") else 1))
        if fault == "late":
            await trio.sleep(_REPEAT_SECONDS)
            await connection.send(data)
        return fault != "duplicate"

    async def _send_endlessly(
        self, connection: "_Connection", request: "_Request", endless: Endless
    ) -> NoReturn:
        """Send until the peer closes the connection, also once the fault has ended.

        Raises
        ------
        OSError or trio.BrokenResourceError
            The peer has closed it.
        """
        self.broken_off.add(request.request_id)
        self.sent_endlessly.add(request.request_id)
        form = endless_response.FORMS[endless.form]
        await connection.send(form.head(endless.status, request.request_id))
        block = form.block
        while True:
            async with _turns:
                pass
            await connection.send(block)
            self.endless_bytes += len(block)

    @contextlib.contextmanager
    def _noting_crash(self, request: "_Request") -> Iterator[None]:
        try:
            yield
        finally:
            if self._scope.cancel_called:
                self.broken_off.add(request.request_id)

    async def _answer(self, request: "_Request") -> bytes:
        headers, request_id = request.headers, request.request_id
        if headers.get("rattanlug-expect-instance", self.name) != self.name:
            return self._encode("421 Misdirected Request", request_id, refused=True)
        if request.path == "/healthz":
            return self._encode("200 OK", request_id)
        now = trio.current_time()
        cold_for = now - self._cold_since if self.cold_left() else None
        self.arrivals.append(Arrival(request_id, now, cold_for, self.cold_reported))
        statistics = self._slots.statistics()
        if statistics.tasks_waiting >= self.service.queue:
            return self._encode("503 Full", request_id, refused=True)
        left = int(headers.get("rattanlug-deadline-ms", "60000")) / 1000.0
        async with self._slots:
            if trio.current_time() >= now + left:
                return self._encode("503 Late", request_id, refused=True)
            self.executions.append(
                upstream.Execution(
                    request_id,
                    request.method,
                    request.path,
                    headers.get("rattanlug-tenant"),
                    request.body,
                    headers,
                    # The rules on late requests count from when it arrived.
                    now,
                    self.name,
                )
            )
            with trio.move_on_at(now + left) as deadline:
                await trio.sleep(self._service_time(request))
        if deadline.cancelled_caught:
            return self._encode("504 Gateway Timeout", request_id, stamped=True)
        return self._encode("200 OK", request_id, stamped=True)

    def _service_time(self, request: "_Request") -> float:
        default = next(iter(self._work.values()))
        prefix = request.path[: request.path.find("/", 1) + 1]
        seconds = self._work.get(prefix, default) * self.slowness
        seconds *= min(max(self._rng.gauss(1.0, _SPREAD), 0.5), 3.0)
        if self.cold_left():
            seconds *= _COLD_FACTOR
        cookie = request.headers.get("cookie", "")
        if cookie in self._cached:
            seconds *= _CACHED_FACTOR
        self._cached[cookie] = None
        self._cached.move_to_end(cookie)
        if len(self._cached) > self.service.cached_objects:
            self._cached.popitem(last=False)
        return seconds

    def _encode(
        self, status: str, request_id: str, stamped: bool = False, refused: bool = False
    ) -> bytes:
        statistics = self._slots.statistics()
        body = f"{self.name} {request_id}".encode().ljust(self.response_bytes)
        lines = [
            f"HTTP/1.1 {status}",
            f"Rattanlug-Request-Id: {request_id}",
            f"Rattanlug-Backend-Id: {self.name}",
            f"Rattanlug-Backend-Load: {statistics.borrowed_tokens},"
            f"{statistics.tasks_waiting},{self.slots}",
            f"Content-Length: {len(body)}",
            f"Keep-Alive: timeout={_IDLE_SECONDS:.0f}",
        ]
        if self.cold_left():
            lines.append(f"Rattanlug-Cold-Ms: {self.cold_left() * 1000.0:.0f}")
        if stamped:
            lines.append(f"Rattanlug-Server-Stamp: stamp-{self.name}-{request_id}")
        if refused:
            self.refused += 1
            lines.append("Rattanlug-Not-Executed: 1")
        return "\r\n".join(lines).encode() + _HEAD_END + body


class _Request(NamedTuple):
    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("rattanlug-request-id", "")


class _Connection:
    """Reads requests with a length, and notices when the peer closes."""

    def __init__(self, stream: trio.SocketStream, gate: proxy.Gate) -> None:
        self._stream = stream
        self._gate = gate
        # Bytes that are sent before the next response.
        self.pending = b""
        self._data = b""

    async def read(self) -> _Request | None:
        """Return the next request, or None if the peer closed the connection."""
        while _HEAD_END not in self._data:
            if not await self._receive():
                return None
        head, _, self._data = self._data.partition(_HEAD_END)
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", "0"))
        while len(self._data) < length:
            if not await self._receive():
                return None
        body, self._data = self._data[:length], self._data[length:]
        method, path, _ = first.split(" ")
        return _Request(method, path, headers, body)

    async def send(self, data: bytes) -> None:
        """Send data as soon as the gate lets it pass."""
        await self._gate.delay_or_block(is_response=True)
        await self._stream.send_all(data)

    async def watch(self, scope: trio.CancelScope) -> None:
        """Cancel the work on a request when the peer closes the connection."""
        try:
            while await self._receive():
                pass
        except trio.BrokenResourceError:
            pass
        scope.cancel()

    async def _receive(self) -> bool:
        data = await self._stream.receive_some(_READ_BYTES)
        await self._gate.delay_or_block(is_response=False)
        self._data += data
        return bool(data)
