"""A small HTTP/1.1 server whose handlers can also send faulty responses."""

import contextlib
import functools
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib import parse

import h11
import trio

_READ_BYTES = 65536
_MAX_HEADER_BYTES = 65536


class Request(NamedTuple):
    """A request with its complete body.

    Attributes
    ----------
    method, path, query : str
        As received, not percent-decoded.
    headers : list of tuple
        Name in lower case and value, trailers included.
    body : bytes
    source : str
        IP address of the client.
    """

    method: str
    path: str
    query: str
    headers: list[tuple[str, str]]
    body: bytes
    source: str

    def header(self, name: str) -> str | None:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def parameter(self, name: str) -> str | None:
        """Return the first value of a query parameter."""
        values = parse.parse_qs(self.query, keep_blank_values=True).get(name)
        return values[0] if values else None


class Response(NamedTuple):
    """A response, possibly a faulty one.

    Attributes
    ----------
    status : int
    headers : tuple of tuple
    body : bytes
    fault : str
        ``short`` sends half of the body, ``duplicate`` sends the response twice,
        ``close`` sends nothing; each closes the connection. ``stray`` sends the
        response twice and keeps the connection open.
    before : bytes
        Bytes that are sent before the response, as they are.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    fault: str = ""
    before: bytes = b""


Handler = Callable[[Request], Awaitable[Response]]


def json_response(data: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    body = json.dumps(data).encode()
    return Response(status, (("Content-Type", "application/json"),), body)


class Connections:
    """Counts open connections and compares them with the server's limit."""

    def __init__(self, limit: int | None = None):
        self._limit = limit
        self._open = 0
        self._most = 0

    @property
    def most(self) -> int:
        """Largest number of connections that were open at the same time."""
        return self._most

    @contextlib.contextmanager
    def count(self):
        """Count one connection; yield whether it is within the limit."""
        self._open += 1
        self._most = max(self._most, self._open)
        try:
            yield self._limit is None or self._open <= self._limit
        finally:
            self._open -= 1


async def serve(
    host: str,
    port: int,
    handler: Handler,
    *,
    connections: Connections | None = None,
    task_status: trio.TaskStatus[list[trio.SocketListener]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; a handler is cancelled when its client disconnects."""
    counter = connections or Connections()
    connect = functools.partial(_serve_connection, handler, counter)
    await trio.serve_tcp(connect, port, host=host, task_status=task_status)


async def _serve_connection(
    handler: Handler, counter: Connections, stream: trio.SocketStream
) -> None:
    with counter.count() as accepted:
        try:
            if accepted:
                await _serve_requests(handler, stream)
        except (OSError, trio.BrokenResourceError, h11.ProtocolError):
            # The client reset the connection, or what it sent is not HTTP.
            pass
        finally:
            with trio.move_on_after(1) as scope:
                scope.shield = True
                await stream.aclose()


async def _serve_requests(handler: Handler, stream: trio.SocketStream) -> None:
    connection = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_HEADER_BYTES)
    while True:
        request = await _read_request(connection, stream)
        if request is None:
            return
        response = await _answer(handler, request, connection, stream)
        if response is None or response.fault == "close":
            return
        await _send(response, connection, stream, request.method)
        closes = response.fault not in ("", "stray")
        if closes or connection.our_state is not h11.DONE:
            return
        connection.start_next_cycle()


async def _read_request(
    connection: h11.Connection, stream: trio.SocketStream
) -> Request | None:
    head = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            if connection.they_are_waiting_for_100_continue:
                proceed = h11.InformationalResponse(status_code=100, headers=[])
                await stream.send_all(connection.send(proceed))
            connection.receive_data(await stream.receive_some(_READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            path, _, query = head.target.decode("latin-1").partition("?")
            headers = [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in [*head.headers, *event.headers]
            ]
            source = stream.socket.getpeername()[0]
            method = head.method.decode()
            return Request(method, path, query, headers, bytes(body), source)
        else:
            return None


async def _answer(
    handler: Handler,
    request: Request,
    connection: h11.Connection,
    stream: trio.SocketStream,
) -> Response | None:
    """Return the handler's response, or None if the client disconnected first."""
    response = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch, connection, stream, nursery.cancel_scope)
        response = await handler(request)
        nursery.cancel_scope.cancel()
    return response


async def _watch(
    connection: h11.Connection, stream: trio.SocketStream, scope: trio.CancelScope
) -> None:
    while True:
        try:
            data = await stream.receive_some(_READ_BYTES)
        except trio.BrokenResourceError:
            data = b""
        if not data:
            scope.cancel()
            return
        connection.receive_data(data)


async def _send(
    response: Response,
    connection: h11.Connection,
    stream: trio.SocketStream,
    method: str,
) -> None:
    headers = [*response.headers, ("Content-Length", str(len(response.body)))]
    if response.fault not in ("", "stray"):
        headers.append(("Connection", "close"))
    head = h11.Response(status_code=response.status, headers=headers)
    data = connection.send(head)
    body = b"" if method == "HEAD" else response.body
    if response.fault == "short":
        await stream.send_all(data + body[: len(body) // 2])
        return
    if body:
        data += connection.send(h11.Data(data=body))
    data += connection.send(h11.EndOfMessage())
    if response.fault in ("duplicate", "stray"):
        data += data
    await stream.send_all(response.before + data)
