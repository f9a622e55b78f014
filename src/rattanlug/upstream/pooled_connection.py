"""One connection to an upstream."""

from collections.abc import Callable

import httpcore

from rattanlug.errors import error, executed, kind
from rattanlug.upstream import answer_stream, chunked, memory_budget, response

_MAX_ANSWER_BYTES = 64 << 20


class PooledConnection:
    """An HTTP/1.1 connection that serves one request at a time.

    Parameters
    ----------
    stream : answer_stream.AnswerStream
    origin : httpcore.Origin
    now : float
        Seconds.
    memory : memory_budget.MemoryBudget
        Bounds the bodies of all answers together.
    """

    def __init__(
        self,
        stream: answer_stream.AnswerStream,
        origin: httpcore.Origin,
        now: float,
        memory: memory_budget.MemoryBudget,
    ) -> None:
        self._stream = stream
        self._memory = memory
        self._http = httpcore.AsyncHTTP11Connection(origin=origin, stream=stream)
        self._idle_since = now

    def reusable(self, now: float, idle_seconds: float) -> bool:
        """Tell whether the connection may carry another request.

        Bytes that wait on an idle connection belong to no request, and an end of it
        means that the upstream closed it.
        """
        return (
            self._http.is_idle()
            and now - self._idle_since < idle_seconds
            and not self._stream.get_extra_info("is_readable")
        )

    def note_idle(self, now: float) -> None:
        """Note that the connection waits for its next request."""
        self._idle_since = now

    async def exchange(
        self,
        request: httpcore.Request,
        identifier: bytes,
        identifier_header: bytes,
        deadline: float,
        check_send: Callable[[], None],
    ) -> tuple[response.Response, str]:
        """Send a request and read its whole answer.

        Parameters
        ----------
        request : httpcore.Request
        identifier : bytes
            Value of the identifier header.
        identifier_header : bytes
            Header that each answer repeats, in lower case.
        deadline : float
            Until when the answer is awaited, seconds.
        check_send : callable
            Called right before the first byte leaves; it may raise to send nothing.

        Returns
        -------
        tuple of response.Response and str
            The answer, and why the connection may not be used again; empty if it may.

        Raises
        ------
        error.UpstreamError
            The answer was broken or belongs to another request.
        httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException
        """
        self._stream.expect(identifier, deadline, check_send)
        answer = await self._http.handle_async_request(request)
        headers = [(name.lower(), value) for name, value in answer.headers]
        head = response.Response(answer.status, headers, b"")
        returned = head.header(identifier_header)
        if returned is not None and returned != identifier:
            raise _broken("the answer belongs to another request")
        body = await self._read_body(answer)
        return head._replace(body=body), self._end_reason(head, len(body))

    def _end_reason(self, head: response.Response, size: int) -> str:
        if not self._http.is_idle():
            return "closed"
        if head.header(b"content-length") is None:
            size = chunked.body_length(self._stream.body) or 0
        return "extra bytes" if self._stream.body_bytes > size else ""

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def _read_body(self, answer: httpcore.Response) -> bytes:
        chunks, size = [], 0
        try:
            async for chunk in answer.aiter_stream():
                size += len(chunk)
                may_keep = self._memory.take(len(chunk), size)
                if not may_keep or size > _MAX_ANSWER_BYTES:
                    raise error.UpstreamError(
                        kind.ErrorKind.ANSWER_TOO_LARGE, "the answer is too large"
                    )
                chunks.append(chunk)
            await answer.aclose()
            return b"".join(chunks)
        finally:
            self._memory.give_back(size)


def _broken(detail: str) -> error.UpstreamError:
    return error.UpstreamError(
        kind.ErrorKind.ANSWER_BROKEN, detail, executed.Executed.UNKNOWN
    )
