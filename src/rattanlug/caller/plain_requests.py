"""Serves requests that arrive whole, without the HTTP library.

Reading a request and sending its answer through the library costs over a third of a
request's processor time. What is not exactly one plain request, such as a body in
chunks or a head in pieces, is left to the library.
"""

from collections.abc import Callable
from urllib import parse

import trio

from rattanlug.caller import (
    application,
    caller_stream,
    reply,
    request,
    request_head,
)

# Their answers have rules of their own for the body.
_LIBRARY_METHODS = frozenset({b"HEAD", b"CONNECT"})


class PlainRequests:
    """Answers the plain requests of one connection.

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
        """Answer requests until one is for the library.

        Parameters
        ----------
        stopping : callable
            Tells whether the connection ends with its present request.

        Returns
        -------
        bool
            Whether bytes for the library wait in the stream; otherwise the
            connection is at its end.
        """
        while True:
            data = await self._stream.receive_request()
            if not data:
                return False
            head = request_head.parse_whole(data)
            if head is None or not _is_plain(head):
                self._stream.push_back(data)
                return True
            early = self._stream.find_local_reply(head)
            if early is not None:
                await self._stream.send_answer(early)
                continue
            answer = await self._answer(_whole(head, data, self._stream))
            if answer is None:
                return False
            await self._stream.send_answer(reply.to_bytes(answer))
            if stopping() or (b"connection", b"close") in answer.headers:
                return False

    async def _answer(self, whole: request.Request) -> reply.Reply | None:
        if self._app.ignores_disconnect(whole):
            return await self._app.answer_plain(whole, self._stream)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stream.read_ahead)
            answer = await self._app.answer_plain(whole, self._stream)
            nursery.cancel_scope.cancel()
        return answer


def _is_plain(head: request_head.RequestHead) -> bool:
    hosts = [name for name, _ in head.headers].count(b"host")
    return hosts == 1 and head.method not in _LIBRARY_METHODS


def _whole(
    head: request_head.RequestHead, data: bytes, stream: caller_stream.CallerStream
) -> request.Request:
    raw_path, _, query = head.target.partition(b"?")
    return request.Request(
        head.method.decode(),
        parse.unquote(raw_path.decode()),
        raw_path,
        query,
        head.headers,
        data.partition(request_head.END)[2],
        stream.identity[0],
        stream.arrived_at,
        lambda: stream.has_disconnected,
    )
