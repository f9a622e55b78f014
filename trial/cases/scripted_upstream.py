"""An upstream whose answers are scripts that write any bytes."""

import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

_READ_BYTES = 65536


class Received(NamedTuple):
    """A request as an upstream reads it.

    Attributes
    ----------
    method, path, request_id : str
    length : int
        Of the body; -1 if it comes in chunks.
    """

    method: str
    path: str
    request_id: str
    length: int


Script = Callable[["ScriptedUpstream", trio.SocketStream, Received], Awaitable[bool]]


async def answer(
    upstream: "ScriptedUpstream", stream: trio.SocketStream, received: Received
) -> bool:
    """Read the body, work, and answer; return whether the connection goes on."""
    if received.method != "HEAD" and not await upstream.read_body(stream, received):
        return False
    await trio.sleep(upstream.work_seconds)
    await stream.send_all(
        upstream.response(
            received, 200, b"" if received.method == "HEAD" else upstream.body
        )
    )
    upstream.finished.add(received.request_id)
    return True


class ScriptedUpstream:
    """Plays a script for each request.

    Parameters
    ----------
    name : str
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.slots = 64
        self.script: Script = answer
        self.work_seconds = 0.02
        self.body = b"ok"
        self.begun: list[str] = []
        self.finished: set[str] = set()
        self.port = 0
        self.buffers: dict[trio.SocketStream, bytes] = {}

    def response(
        self, received: Received, status: int, body: bytes, lines: str = ""
    ) -> bytes:
        """Return an encoded response."""
        length = len(self.body) if received.method == "HEAD" else len(body)
        return (
            f"HTTP/1.1 {status} X\r\nRattanlug-Request-Id: {received.request_id}\r\n"
            f"Rattanlug-Server-Stamp: stamp-{received.request_id}\r\n"
            f"Rattanlug-Backend-Load: 0,0,{self.slots}\r\n"
            f"Content-Length: {length}\r\n{lines}\r\n"
        ).encode() + body

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.buffers[stream] = b""
        try:
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                while (received := await self._read_head(stream)) is not None:
                    self.begun.append(received.request_id)
                    if not await self.script(self, stream, received):
                        break
        finally:
            del self.buffers[stream]
            await trio.aclose_forcefully(stream)

    async def _read_head(self, stream: trio.SocketStream) -> Received | None:
        while b"\r\n\r\n" not in self.buffers[stream]:
            data = await stream.receive_some(_READ_BYTES)
            if not data:
                return None
            self.buffers[stream] += data
        text, _, self.buffers[stream] = self.buffers[stream].partition(b"\r\n\r\n")
        first, *lines = text.decode("latin-1").split("\r\n")
        method, path, _ = first.split(" ", 2)
        headers = {
            name.lower(): value.strip()
            for name, _, value in (each.partition(":") for each in lines)
        }
        length = int(headers.get("content-length", 0))
        if "transfer-encoding" in headers:
            length = -1
        return Received(method, path, headers.get("rattanlug-request-id", ""), length)

    async def read_body(self, stream: trio.SocketStream, received: Received) -> bool:
        """Read the body of a request; return whether it came as a whole."""
        while not self._take_body(stream, received.length):
            data = await stream.receive_some(_READ_BYTES)
            if not data:
                return False
            self.buffers[stream] += data
        return True

    def _take_body(self, stream: trio.SocketStream, length: int) -> bool:
        data = self.buffers[stream]
        if length >= 0:
            if len(data) < length:
                return False
            self.buffers[stream] = data[length:]
            return True
        end = data.find(b"0\r\n\r\n")
        if end < 0:
            self.buffers[stream] = data[-8:]
            return False
        self.buffers[stream] = data[end + 5 :]
        return True
