"""The ASGI application that hypercorn runs for callers and operators."""

from collections.abc import Awaitable, Callable

import trio

from rattanlug.caller import reply, request
from rattanlug.errors import error, kind
from rattanlug.metrics import counters

Handler = Callable[[request.Request], Awaitable[reply.Reply]]

_MAX_BODY_BYTES = 1024 * 1024
_MAX_HEADER_BYTES = 16 * 1024
_BODY_TIMEOUT_SECONDS = 10.0


class Application:
    """Reads whole requests, calls the handler and sends whole answers.

    Parameters
    ----------
    handler : callable
        Coroutine function from request to reply; it may raise
        ``error.RattanlugError``.
    all_counters : counters.Counters
    """

    def __init__(self, handler: Handler, all_counters: counters.Counters) -> None:
        self._handler = handler
        self._counters = all_counters
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that are being served."""
        return self._in_flight

    async def __call__(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            self._in_flight += 1
            try:
                await self._serve_request(scope, receive, send)
            finally:
                self._in_flight -= 1

    async def _serve_request(
        self, scope: dict, receive: Callable, send: Callable
    ) -> None:
        try:
            whole = await _read_request(scope, receive)
            if whole is None:
                self._counters.add("requests_abandoned")
                return
            answer = await self._call_until_disconnect(whole, receive)
        except error.RattanlugError as exc:
            self._counters.add("errors", kind=exc.kind.value)
            answer = reply.from_error(exc)
        if answer is None:
            self._counters.add("requests_abandoned")
            return
        await _send_reply(answer, send)

    async def _call_until_disconnect(
        self, whole: request.Request, receive: Callable
    ) -> reply.Reply | None:
        answer: reply.Reply | None = None
        failure: error.RattanlugError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            try:
                answer = await self._handler(whole)
            except error.RattanlugError as exc:
                failure = exc
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return answer


async def _serve_lifespan(receive: Callable, send: Callable) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _cancel_on_disconnect(receive: Callable, scope: trio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


async def _read_request(scope: dict, receive: Callable) -> request.Request | None:
    headers = [(name.lower(), value) for name, value in scope["headers"]]
    _check_headers(headers)
    body = bytearray()
    with trio.move_on_after(_BODY_TIMEOUT_SECONDS) as timeout:
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            body += message.get("body", b"")
            if len(body) > _MAX_BODY_BYTES:
                raise error.RefusedError(
                    kind.ErrorKind.REQUEST_TOO_LARGE,
                    f"the body is larger than {_MAX_BODY_BYTES} bytes",
                )
            if not message.get("more_body", False):
                break
    if timeout.cancelled_caught:
        raise error.RefusedError(
            kind.ErrorKind.REQUEST_MALFORMED,
            f"the body did not arrive within {_BODY_TIMEOUT_SECONDS:g} s",
        )
    client = scope.get("client") or ("", 0)
    return request.Request(
        scope["method"],
        scope["path"],
        scope["raw_path"].partition(b"?")[0],
        scope["query_string"],
        headers,
        bytes(body),
        client[0],
    )


def _check_headers(headers: request.Headers) -> None:
    size = sum(len(name) + len(value) for name, value in headers)
    if size > _MAX_HEADER_BYTES:
        raise error.RefusedError(
            kind.ErrorKind.REQUEST_TOO_LARGE,
            f"the headers are larger than {_MAX_HEADER_BYTES} bytes",
        )
    names = [name for name, _ in headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise error.RefusedError(
            kind.ErrorKind.REQUEST_MALFORMED,
            "Content-Length and Transfer-Encoding exclude each other",
        )
    for name in (b"content-length", b"authorization", b"idempotency-key", b"host"):
        if names.count(name) > 1:
            raise error.RefusedError(
                kind.ErrorKind.REQUEST_MALFORMED,
                f"the header {name.decode()} appears more than once",
            )


async def _send_reply(answer: reply.Reply, send: Callable) -> None:
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": answer.headers,
        }
    )
    await send({"type": "http.response.body", "body": answer.body})
