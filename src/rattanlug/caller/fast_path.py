"""Serves simple requests that arrive complete, without hypercorn.

Reading a request and sending its response through the library takes more than a third
of the processor time of a request. Everything that is not exactly one complete request,
such as a chunked body or a partial head, is left to the library.
"""

from collections.abc import Callable
from urllib import parse

import trio

from rattanlug.caller import (
    application,
    caller_stream,
    memory_reservation,
    reply,
    request,
    request_head,
)

# Responses to these methods have special rules for the body.
_LIBRARY_METHODS = frozenset({b"HEAD", b"CONNECT"})


class FastPath:
    """Serves the simple requests of one connection.

    Parameters
    ----------
    stream : caller_stream.CallerStream
    app : application.Application
    """

    def __init__(
        self, stream: caller_stream.CallerStream, app: application.Application
    ) -> None:
        self._stream = stream
        self._app = app

    async def serve(self, stopping: Callable[[], bool]) -> bool:
        """Serve requests until one needs the library.

        Parameters
        ----------
        stopping : callable
            Tells whether the connection is closed after the current request.

        Returns
        -------
        bool
            Whether the stream holds bytes for the library; if not, the connection is
            finished.
        """
        needs_library = None
        while needs_library is None:
            needs_library = await self._serve_one(
                await self._stream.receive_request(), stopping
            )
        return needs_library

    async def _serve_one(
        self, data: bytes, stopping: Callable[[], bool]
    ) -> bool | None:
        """Serve the request that begins with the given bytes.

        Nothing of a request may be kept while the connection waits for the next one,
        since it isn't counted as memory any more.

        Returns
        -------
        bool or None
            The result of `serve`; None if the connection waits for another request.
        """
        if not data:
            return False
        head = request_head.parse_complete(data)
        if head is None or not _is_simple(head):
            self._stream.push_back(data)
            return True
        local_reply = self._stream.find_local_reply(head)
        if local_reply is not None:
            await self._stream.send_response(local_reply)
            return None
        with self._app.reserve_memory() as reservation:
            response = await self._respond(
                _to_request(head, data, self._stream), reservation
            )
            if response is None:
                return False
            await self._stream.send_response(reply.to_bytes(response))
        if stopping() or (b"connection", b"close") in response.headers:
            return False
        return None

    async def _respond(
        self,
        incoming: request.Request,
        reservation: memory_reservation.MemoryReservation,
    ) -> reply.Reply | None:
        if self._app.ignores_disconnect(incoming):
            return await self._app.serve_parsed(incoming, self._stream, reservation)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stream.read_ahead)
            response = await self._app.serve_parsed(incoming, self._stream, reservation)
            nursery.cancel_scope.cancel()
        return response


def _is_simple(head: request_head.RequestHead) -> bool:
    hosts = [name for name, _ in head.headers].count(b"host")
    return hosts == 1 and head.method not in _LIBRARY_METHODS


def _to_request(
    head: request_head.RequestHead, data: bytes, stream: caller_stream.CallerStream
) -> request.Request:
    raw_path = head.target.partition(b"?")[0]
    return request.Request(
        head.method.decode(),
        parse.unquote(raw_path.decode()),
        head.target,
        head.headers,
        data.partition(request_head.HEAD_END)[2],
        stream.remote_address[0],
        stream.arrived_at,
        lambda: stream.has_disconnected,
    )
