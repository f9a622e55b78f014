"""Answers the requests of other daemons."""

import collections
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import trio

from rattanlug.errors import error as tree
from rattanlug.peer import codec, decoded, error, framing, sender
from rattanlug.peer.generated import ttypes
from rattanlug.settings import address

Handler = Callable[[Any, sender.Sender], Awaitable[Any]]

#: Requests of one connection that are handled at the same time; reading waits at
#: the limit, so that TCP slows the peer down.
_MAX_REQUESTS_PER_CONNECTION = 64
_IDLE_TIMEOUT_S = 120.0
_LOG = logging.getLogger(__name__)


async def serve(
    local: address.Address,
    handlers: Mapping[type, Handler],
    vm: str = "",
    counters: collections.Counter | None = None,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Listen and answer until cancelled.

    Parameters
    ----------
    local : address.Address
        Where to listen; port 0 picks a free one.
    handlers : Mapping
        Coroutine function by message type: ``await handler(message, sender)`` returns
        the response. An error of the exception tree becomes a ``Failure`` of its kind.
    vm : str
        Name of this VM.
    counters : collections.Counter, optional
        Raised under ``peer_frames_bad``, ``peer_requests`` and ``peer_handler_errors``.
    task_status : optional
        Reports the list of listeners once they accept connections.
    """
    server = _Server(
        handlers, vm, collections.Counter() if counters is None else counters
    )
    await trio.serve_tcp(
        server.serve_stream, local.port, host=local.host, task_status=task_status
    )


class _Server:
    def __init__(self, handlers, vm, counters):
        self._handlers = handlers
        self._vm = vm
        self._counters = counters

    async def serve_stream(self, stream: trio.SocketStream) -> None:
        """Handle one connection; a fault in it ends no other."""
        try:
            await self._serve_connection(stream)
        except* error.MalformedMessageError:
            self._counters["peer_frames_bad"] += 1
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_connection(self, stream):
        host = stream.socket.getpeername()[0]
        reader = framing.FrameReader(stream)
        limit = trio.Semaphore(_MAX_REQUESTS_PER_CONNECTION)
        send_lock = trio.Lock()
        async with trio.open_nursery() as nursery:
            while True:
                data = None
                with trio.move_on_after(_IDLE_TIMEOUT_S):
                    data = await reader.receive()
                if data is None:
                    break
                request = codec.decode(data)
                await limit.acquire()
                nursery.start_soon(
                    self._answer, stream, send_lock, limit, request, host
                )

    async def _answer(self, stream, send_lock, limit, request, host):
        try:
            response = await self._handle(request, host)
            data = framing.frame(codec.encode(request.id, self._vm, response))
            async with send_lock:
                await stream.send_all(data)
        finally:
            limit.release()

    async def _handle(self, request: decoded.Decoded, host: str):
        self._counters["peer_requests"] += 1
        handler = self._handlers.get(type(request.message))
        if handler is None:
            return ttypes.Failure(
                "", f"no handler for {type(request.message).__name__}"
            )
        origin = sender.Sender(request.sender, request.protocol_version, host)
        try:
            return await handler(request.message, origin)
        except tree.RattanlugError as exc:
            return ttypes.Failure(exc.kind.value, exc.detail)
        except Exception as exc:
            # One faulty handler must not end the daemon or the connection.
            self._counters["peer_handler_errors"] += 1
            _LOG.exception("handler of %s failed", type(request.message).__name__)
            return ttypes.Failure("", type(exc).__name__)
