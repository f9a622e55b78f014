"""Stand-in for a backend of the platform, as PROTOCOL.md describes it."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from standins import message, record, store


class Run(NamedTuple):
    """A request that a backend began to work on.

    Attributes
    ----------
    request_id : str
    backend : str
    at : float
        Seconds since the start of the case.
    """

    request_id: str
    backend: str
    at: float


class Backend:
    """Runs requests in slots, queues some more and rejects the rest.

    Parameters
    ----------
    name : str
        Id under which it registers.
    service, zone : str
    capacity : int
        Requests that run at the same time.
    queue : int
        Requests that wait for a slot.
    work_s : callable
        Takes the target of a request and returns the time that it takes, seconds.
    log : record.Record
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        capacity: int,
        queue: int,
        work_s: Callable[[str], float],
        log: record.Record,
    ) -> None:
        self.name = name
        self.runs: list[Run] = []
        # Targets of the requests that reached it.
        self.targets: set[str] = set()
        # Called with each response; returns bytes that follow it, or nothing. They are
        # sent at the point where the next response is expected on the connection.
        self.extra: Callable[[int, bytes], bytes] = lambda status, data: b""
        self._service = service
        self._zone = zone
        self._capacity = capacity
        self._queue = queue
        self._work_s = work_s
        self._log = log
        self._slots = asyncio.Semaphore(capacity)
        self._running = 0
        self._waiting = 0
        self._born = int(time.time() * 1000)
        self.port = 0

    async def start(self, registry: store.Store) -> None:
        """Listen on a free loopback port and register in the store."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.server = server
        registry.put("servers", self.name, self.entry())

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the registration."""
        return {
            "address": f"127.0.0.1:{self.port}",
            "born": self._born,
            "info": {
                "service": self._service,
                "version": "v1",
                "zone": self._zone,
                "capacity": self._capacity,
            },
            "status": {"state": state, "sequence": 1, "warmup_left_s": 0},
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        pending = b""
        with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
            while (request := await message.read(reader)) is not None:
                if pending:
                    writer.write(pending)
                    name = request.headers.get("rattanlug-request-id", "")
                    self._log.write("extra", backend=self.name, before_answer_to=name)
                status, data = await self._answer(request)
                pending = self.extra(status, data)
                writer.write(data)
                await writer.drain()
        writer.close()

    async def _answer(self, request: message.Message) -> tuple[int, bytes]:
        headers = request.headers
        self.targets.add(request.target)
        if request.target == "/healthz":
            return 200, message.encode(
                "HTTP/1.1 200 OK", {"Rattanlug-Backend-Id": self.name}
            )
        expected = headers.get("rattanlug-expect-instance", self.name)
        if expected != self.name:
            return 421, self._rejection("421 Misdirected Request", headers)
        if "rattanlug-request-id" not in headers:
            return 400, self._rejection("400 Bad Request", headers)
        request_id = headers["rattanlug-request-id"]
        if self._running + self._waiting >= self._capacity + self._queue:
            self._log.write("rejected", backend=self.name, id=request_id)
            return 503, self._rejection("503 Service Unavailable", headers)
        ends_at = time.monotonic() + int(headers["rattanlug-deadline-ms"]) / 1000
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            if time.monotonic() >= ends_at:
                return 503, self._rejection("503 Service Unavailable", headers)
            self._running += 1
            self.runs.append(Run(request_id, self.name, self._log.now()))
            self._log.write("run", backend=self.name, id=request_id)
            try:
                left = ends_at - time.monotonic()
                work = self._work_s(request.target)
                await asyncio.sleep(min(work, left))
            finally:
                self._running -= 1
        finally:
            self._slots.release()
        status = "200 OK" if work <= left else "504 Gateway Timeout"
        answer_headers = {
            "Rattanlug-Request-Id": request_id,
            "Rattanlug-Server-Stamp": f"{self.name}.{len(self.runs)}.{request_id}",
            "Rattanlug-Backend-Load": f"{self._running},{self._waiting},"
            f"{self._capacity}",
            "Keep-Alive": "timeout=10",
        }
        body = f"{self.name} ran {request_id}".encode()
        return int(status[:3]), message.encode(
            f"HTTP/1.1 {status}", answer_headers, body
        )

    def _rejection(self, status: str, headers: dict[str, str]) -> bytes:
        answer_headers = {
            "Rattanlug-Not-Executed": "1",
            "Rattanlug-Backend-Id": self.name,
            "Rattanlug-Request-Id": headers.get("rattanlug-request-id", ""),
        }
        return message.encode(f"HTTP/1.1 {status}", answer_headers)
