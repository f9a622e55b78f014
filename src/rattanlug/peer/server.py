"""Serves the requests of other daemons."""

import collections
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import trio

from rattanlug.errors import error as error_tree
from rattanlug.peer import codec, decoded_message, error, framing, sender
from rattanlug.peer.generated import ttypes
from rattanlug.settings import address

Handler = Callable[[Any, sender.Sender], Awaitable[Any]]

#: Concurrent requests of one connection; at the limit, reading pauses and TCP applies
#: back pressure to the peer.
_MAX_REQUESTS_PER_CONNECTION = 64
_IDLE_TIMEOUT_S = 120.0
#: A peer that does not read must not block the handlers of its requests.
_SEND_TIMEOUT_S = 10.0
_LOG = logging.getLogger(__name__)


async def serve(
    local: address.Address,
    handlers: Mapping[type, Handler],
    vm: str = "",
    counters: collections.Counter | None = None,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Listen and serve requests until cancelled.

    Parameters
    ----------
    local : address.Address
        Where to listen; port 0 selects a free port.
    handlers : Mapping
        Coroutine function by message type: ``await handler(message, sender)`` returns
        the response. A ``RattanlugError`` becomes a ``Failure`` of its kind.
    vm : str
        Name of this VM.
    counters : collections.Counter, optional
        Counts ``peer_frames_bad``, ``peer_requests`` and ``peer_handler_errors``.
    task_status : optional
        Receives the list of listeners once they accept connections.
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
        """Serve one connection; a fault in it does not end the others."""
        try:
            host = stream.socket.getpeername()[0]
            # Handlers run to their end when the connection ends: the fault of a peer
            # must not interrupt a relayed write or a settlement.
            async with trio.open_nursery() as nursery:
                try:
                    await self._read(stream, host, nursery)
                except error.MalformedMessageError:
                    self._counters["peer_frames_bad"] += 1
                    await trio.aclose_forcefully(stream)
                except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                    await trio.aclose_forcefully(stream)
        except OSError:
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _read(self, stream, host, nursery):
        reader = framing.FrameReader(stream)
        limit = trio.Semaphore(_MAX_REQUESTS_PER_CONNECTION)
        send_lock = trio.Lock()
        while True:
            data = None
            with trio.move_on_after(_IDLE_TIMEOUT_S):
                data = await reader.receive()
            if data is None:
                return
            request = codec.decode(data)
            await limit.acquire()
            nursery.start_soon(self._answer, stream, send_lock, limit, request, host)

    async def _answer(self, stream, send_lock, limit, request, host):
        try:
            response = await self._handle(request, host)
            data = self._encode(request, response)
            async with send_lock:
                with trio.move_on_after(_SEND_TIMEOUT_S) as scope:
                    await stream.send_all(data)
                if scope.cancelled_caught:
                    # Part of the frame may have been sent, so no other can follow.
                    await trio.aclose_forcefully(stream)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.aclose_forcefully(stream)
        finally:
            limit.release()

    def _encode(self, request, response):
        try:
            return framing.frame(codec.encode(request.id, self._vm, response))
        except Exception as exc:
            # The handler returned no message, or one that exceeds a frame.
            self._counters["peer_handler_errors"] += 1
            _LOG.exception("response to %s not sent", type(request.message).__name__)
            failure = ttypes.Failure("", type(exc).__name__)
            return framing.frame(codec.encode(request.id, self._vm, failure))

    async def _handle(self, request: decoded_message.DecodedMessage, host: str):
        self._counters["peer_requests"] += 1
        handler = self._handlers.get(type(request.message))
        if handler is None:
            return ttypes.Failure(
                "", f"no handler for {type(request.message).__name__}"
            )
        origin = sender.Sender(request.sender, request.protocol_version, host)
        try:
            return await handler(request.message, origin)
        except error_tree.RattanlugError as exc:
            return ttypes.Failure(exc.kind.value, exc.detail)
        except Exception as exc:
            # A fault in a handler must not end the daemon or the connection.
            self._counters["peer_handler_errors"] += 1
            _LOG.exception("handler of %s failed", type(request.message).__name__)
            return ttypes.Failure("", type(exc).__name__)
