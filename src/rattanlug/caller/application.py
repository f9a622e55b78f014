"""The ASGI application that hypercorn runs for callers and operators."""

import contextlib
import logging
from collections.abc import Awaitable, Callable

import trio

from rattanlug.caller import (
    body_stream,
    caller_stream,
    memory_reservation,
    reply,
    request,
)
from rattanlug.errors import error, executed, kind
from rattanlug.metrics import counters
from rattanlug.upstream import memory_budget

Handler = Callable[[request.Request], Awaitable[reply.Reply]]

MAX_BODY_BYTES = 1024 * 1024
# Largest head that is kept in memory, whatever the limit in force.
MAX_HEAD_BYTES = 64 * 1024
_DEFAULT_HEAD_BYTES = 16 * 1024
_BODY_TIMEOUT_SECONDS = 10.0
# Closing a socket with unread bytes resets the connection, and a caller that is still
# sending its body would lose the error response. The rest of the body is therefore
# read and discarded within these limits.
_DISCARD_SECONDS = 0.3
_DISCARD_BYTES = 8 * 1024 * 1024
_HTTP_1 = frozenset({"1.0", "1.1"})
_SINGLE_HEADERS = (
    b"content-length",
    b"authorization",
    b"idempotency-key",
    b"host",
    b"request-id",
    b"request-timeout",
)
_LOG = logging.getLogger(__name__)


class Application:
    """Buffers each request, calls the handler and sends its response.

    Parameters
    ----------
    handler : callable
        Coroutine function from request to reply; it may raise
        ``error.RattanlugError``, which is sent as an error response.
    all_counters : counters.Counters
    closing : callable, optional
        Tells whether responses carry ``Connection: close``, so that callers open
        their next connection to another VM.
    ignores_disconnect : callable, optional
        Tells whether a request is served to its end even if its caller disconnects;
        such a request needs no task that watches the connection.
    max_body_bytes : callable, optional
        Returns the size of the largest accepted body.
    memory : memory_budget.MemoryBudget, optional
        Limits what is held of all bodies together.
    streams_bodies : bool
        Whether the handler takes the `rest` of a large body; otherwise, each body is
        held as a whole.
    max_head_bytes : callable, optional
        Returns the largest accepted size of the names and values of all headers.
    """

    def __init__(
        self,
        handler: Handler,
        all_counters: counters.Counters,
        closing: Callable[[], bool] = lambda: False,
        ignores_disconnect: Callable[[request.Request], bool] = lambda incoming: False,
        max_body_bytes: Callable[[], int] = lambda: MAX_BODY_BYTES,
        memory: memory_budget.MemoryBudget | None = None,
        streams_bodies: bool = False,
        max_head_bytes: Callable[[], int] = lambda: _DEFAULT_HEAD_BYTES,
    ) -> None:
        self._handler = handler
        self._counters = all_counters
        self._closing = closing
        self._ignores_disconnect = ignores_disconnect
        self._max_body_bytes = max_body_bytes
        self._memory = memory
        self._streams_bodies = streams_bodies
        self._max_head_bytes = max_head_bytes
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that are being served."""
        return self._in_flight

    async def __call__(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "websocket":
            self._counters.add("requests_rejected", reason="websocket")
            # Leaves room in the queue for the message about the close, for which
            # hypercorn would wait for ever.
            await receive()
            await send({"type": "websocket.close"})
        elif scope["type"] == "http":
            self._in_flight += 1
            stream = scope.get(caller_stream.SCOPE_KEY)
            try:
                with stream.serving() if stream else contextlib.nullcontext():
                    await self._serve_request(scope, receive, send)
            finally:
                self._in_flight -= 1

    def reserve_memory(self) -> memory_reservation.MemoryReservation:
        """Return the reservation for a request and its response."""
        return memory_reservation.MemoryReservation(self._memory)

    async def serve_parsed(
        self,
        incoming: request.Request,
        stream: caller_stream.CallerStream,
        reservation: memory_reservation.MemoryReservation,
    ) -> reply.Reply | None:
        """Serve a request that the fast path parsed, without hypercorn.

        Parameters
        ----------
        incoming : request.Request
        stream : caller_stream.CallerStream
        reservation : memory_reservation.MemoryReservation
            For the bodies of the request and of its response.

        Returns
        -------
        reply.Reply or None
            None when the caller disconnected before it had its response.
        """
        self._in_flight += 1
        try:
            _check_headers(incoming.headers, self._max_head_bytes())
            if len(incoming.body) > self._max_body_bytes():
                raise _too_large(self._max_body_bytes())
            size = len(incoming.body)
            reservation.add(size, size)
            with stream.serving():
                response = await self._respond(incoming, stream)
        except error.RattanlugError as exc:
            response = self._close_if_stopping(self._from_error(exc))
        finally:
            self._in_flight -= 1
        if response is None:
            self._counters.add("requests_abandoned")
        else:
            reservation.hold(len(response.body))
        return response

    def ignores_disconnect(self, incoming: request.Request) -> bool:
        """Tell whether a request is served to its end if its caller disconnects."""
        return self._ignores_disconnect(incoming)

    async def _respond(
        self, incoming: request.Request, stream: caller_stream.CallerStream | None
    ) -> reply.Reply | None:
        try:
            if stream is None or self._ignores_disconnect(incoming):
                response = await self._call(incoming)
            else:
                response = await self._call_until_disconnect(incoming, stream)
        except error.RattanlugError as exc:
            response = self._from_error(exc)
        return None if response is None else self._close_if_stopping(response)

    def _close_if_stopping(self, response: reply.Reply) -> reply.Reply:
        return _with_close(response) if self._closing() else response

    async def _serve_request(
        self, scope: dict, receive: Callable, send: Callable
    ) -> None:
        with self.reserve_memory() as reservation:
            await self._serve_reserved(scope, receive, send, reservation)

    async def _serve_reserved(
        self,
        scope: dict,
        receive: Callable,
        send: Callable,
        reservation: memory_reservation.MemoryReservation,
    ) -> None:
        incoming, response = None, None
        try:
            incoming = await _read_request(
                scope,
                receive,
                self._max_body_bytes(),
                self._max_head_bytes(),
                reservation,
                self._streams_bodies,
            )
        except error.RattanlugError as exc:
            response = self._close_if_stopping(self._from_error(exc))
        else:
            if incoming is not None:
                response = await self._respond(
                    incoming, scope.get(caller_stream.SCOPE_KEY)
                )
        if response is None:
            self._counters.add("requests_abandoned")
            if incoming is not None and incoming.rest is not None:
                await _discard_rest(incoming.rest, receive)
            return
        reservation.hold(len(response.body))
        if incoming is not None and (
            incoming.rest is None or incoming.rest.is_complete
        ):
            await _send_reply(response, send)
            return
        if not await _discard_body(receive):
            # The connection can't be used again.
            response = _with_close(response)
        async with trio.open_nursery() as nursery:
            # After the response, hypercorn puts a message into the application's
            # queue. The rest of the caller's body may have filled that queue, and
            # sending would then block.
            nursery.start_soon(_discard_messages, receive)
            await _send_reply(response, send)
            nursery.cancel_scope.cancel()

    def _from_error(self, exc: error.RattanlugError) -> reply.Reply:
        self._counters.add("errors", kind=exc.kind.value)
        return reply.from_error(exc)

    async def _call(self, incoming: request.Request) -> reply.Reply:
        try:
            return await self._handler(incoming)
        except error.RattanlugError:
            raise
        except BaseExceptionGroup as exc:
            # A part of the request may fail while the others are cancelled.
            errors, cancellations = exc.split(Exception)
            if errors is not None:
                self._record_unexpected_error()
            if cancellations is not None:
                raise cancellations from None
            raise _internal_error() from exc
        except Exception as exc:
            self._record_unexpected_error()
            raise _internal_error() from exc

    def _record_unexpected_error(self) -> None:
        """Count and log the error that is being handled."""
        self._counters.add("internal_errors")
        _LOG.exception("unexpected error while serving a request")

    async def _call_until_disconnect(
        self, incoming: request.Request, stream: caller_stream.CallerStream
    ) -> reply.Reply | None:
        with trio.CancelScope() as cancel_scope:
            stream.on_disconnect(cancel_scope.cancel)
            try:
                return await self._call(incoming)
            finally:
                stream.on_disconnect(None)
        return None


def _internal_error() -> error.RattanlugError:
    return error.RattanlugError(
        kind.ErrorKind.UPSTREAM_FAILED,
        "an internal error ended the request",
        executed.Executed.UNKNOWN,
    )


async def _discard_messages(receive: Callable) -> None:
    while True:
        await receive()


def _with_close(response: reply.Reply) -> reply.Reply:
    close = (b"connection", b"close")
    if close in response.headers:
        return response
    return response._replace(headers=[*response.headers, close])


async def _discard_body(receive: Callable) -> bool:
    """Read and discard the rest of a body; return whether it was read to its end."""
    size = 0
    with trio.move_on_after(_DISCARD_SECONDS):
        while size <= _DISCARD_BYTES:
            message = await receive()
            size += len(message.get("body", b""))
            if not message.get("more_body", False):
                return True
    return False


async def _discard_rest(rest: body_stream.BodyStream, receive: Callable) -> None:
    """Discard what the caller sent before it left.

    Otherwise, hypercorn would wait for ever for room in the application's queue.
    """
    has_ended = rest.has_ended
    while not has_ended:
        message = await receive()
        has_ended = not message.get("more_body", False)


async def _read_request(
    scope: dict,
    receive: Callable,
    max_body_bytes: int,
    max_head_bytes: int,
    reservation: memory_reservation.MemoryReservation,
    streams_bodies: bool,
) -> request.Request | None:
    """Return the request; None if the caller disconnected.

    Raises
    ------
    error.RefusedError
    """
    if scope["http_version"] not in _HTTP_1:
        raise error.RefusedError(
            kind.ErrorKind.REQUEST_MALFORMED,
            "unsupported HTTP version; accepted: HTTP/1.0 and HTTP/1.1",
        )
    if scope["method"] == "CONNECT":
        # The HTTP library would take a success as the beginning of a tunnel.
        raise error.RefusedError(
            kind.ErrorKind.REQUEST_MALFORMED, "the method CONNECT is not supported"
        )
    headers = [(name.lower(), value) for name, value in scope["headers"]]
    _check_headers(headers, max_head_bytes)
    length = _content_length(headers)
    if length is not None and length > max_body_bytes:
        raise _too_large(max_body_bytes)
    body, rest = bytearray(), None
    is_large = length is not None and length > memory_budget.SMALL_BODY_BYTES
    if length is not None and not (is_large and streams_bodies):
        reservation.add(length, length)
    with trio.move_on_after(_BODY_TIMEOUT_SECONDS) as timeout:
        while True:
            if is_large and streams_bodies:
                reservation.add(body_stream.WINDOW_BYTES, length or len(body))
                rest = body_stream.BodyStream(
                    receive, length, len(body), max_body_bytes
                )
                break
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            piece = message.get("body", b"")
            if length is None:
                reservation.add(len(piece), len(body) + len(piece))
            body += piece
            if len(body) > max_body_bytes:
                raise _too_large(max_body_bytes)
            if not message.get("more_body", False):
                break
            is_large = is_large or len(body) > memory_budget.SMALL_BODY_BYTES
    if timeout.cancelled_caught:
        raise error.RefusedError(
            kind.ErrorKind.REQUEST_MALFORMED,
            f"the body did not arrive within {_BODY_TIMEOUT_SECONDS:g} s",
        )
    client = scope.get("client") or ("", 0)
    stream = scope.get(caller_stream.SCOPE_KEY)
    return request.Request(
        scope["method"],
        scope["path"],
        scope["raw_path"],
        headers,
        bytes(body),
        client[0],
        None if stream is None else stream.arrived_at,
        lambda: stream is not None and stream.has_disconnected,
        rest,
        None if stream is None else stream.received_at,
    )


def _content_length(headers: request.Headers) -> int | None:
    """Return the length of the body that the caller states, which h11 has checked."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None


def _too_large(max_body_bytes: int) -> error.RefusedError:
    return error.RefusedError(
        kind.ErrorKind.REQUEST_TOO_LARGE,
        f"the body is larger than {max_body_bytes} bytes",
    )


def _check_headers(headers: request.Headers, max_bytes: int) -> None:
    size = sum(len(name) + len(value) for name, value in headers)
    if size > max_bytes:
        raise error.RefusedError(
            kind.ErrorKind.REQUEST_TOO_LARGE,
            f"the headers are larger than {max_bytes} bytes",
        )
    names = [name for name, _ in headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise error.RefusedError(
            kind.ErrorKind.REQUEST_MALFORMED,
            "Content-Length and Transfer-Encoding exclude each other",
        )
    for name in _SINGLE_HEADERS:
        if names.count(name) > 1:
            raise error.RefusedError(
                kind.ErrorKind.REQUEST_MALFORMED,
                f"the header {name.decode()} appears more than once",
            )


async def _send_reply(response: reply.Reply, send: Callable) -> None:
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": response.headers,
        }
    )
    await send({"type": "http.response.body", "body": response.body})
