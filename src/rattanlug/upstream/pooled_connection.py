"""A reusable connection to an upstream."""

import contextlib
from collections.abc import Callable

import httpcore

from rattanlug.errors import error, executed, kind
from rattanlug.upstream import (
    memory_budget,
    received_body,
    response,
    response_stream,
    upstream_socket,
)

# Their responses have no body, whatever length they state.
_EMPTY_STATUSES = frozenset({204, 304})
# Bounds the memory for identifiers, with a new connection for one in 1024 requests.
MAX_REQUESTS = 1024


class PooledConnection:
    """An HTTP/1.1 connection that serves one request at a time.

    Parameters
    ----------
    stream : response_stream.ResponseStream
    origin : httpcore.Origin
    now : float
        Current time, seconds.
    memory : memory_budget.MemoryBudget
        Limits the bodies of all responses together.
    """

    def __init__(
        self,
        stream: response_stream.ResponseStream,
        origin: httpcore.Origin,
        now: float,
        memory: memory_budget.MemoryBudget,
    ) -> None:
        self._stream = stream
        self._memory = memory
        self._http = httpcore.AsyncHTTP11Connection(origin=origin, stream=stream)
        self._idle_since = now
        self._identifiers: set[bytes] = set()

    @property
    def received(self) -> int:
        """Number of bytes received for the current request."""
        return self._stream.received

    def has_carried(self, identifier: bytes) -> bool:
        """Tell whether a request with this identifier was sent on the connection.

        A late duplicate of the response to that request can't be told from the response
        to a further one.
        """
        return identifier in self._identifiers

    def is_reusable(self, now: float, idle_seconds: float) -> bool:
        """Tell whether the connection may carry another request.

        An idle connection must not be readable: unread bytes belong to no request,
        and an end of stream means that the upstream closed the connection.

        Parameters
        ----------
        now : float
            Current time, seconds.
        idle_seconds : float
            Maximum time for which a connection may be idle.
        """
        return (
            self._http.is_idle()
            and now - self._idle_since < idle_seconds
            and not self._stream.get_extra_info("is_readable")
        )

    def mark_idle(self, now: float) -> None:
        """Record that the connection has become idle."""
        self._stream.end_request()
        self._idle_since = now

    async def exchange(
        self,
        request: httpcore.Request,
        identifier: bytes,
        identifier_header: bytes,
        deadline: float,
        check_send: Callable[[], None],
        later_deadline: upstream_socket.LaterDeadline | None = None,
    ) -> tuple[response.Response, str]:
        """Send a request and read its complete response.

        Parameters
        ----------
        request : httpcore.Request
        identifier : bytes
            Value of the identifier header.
        identifier_header : bytes
            Header that each response copies from its request, in lower case.
        deadline : float
            Latest time for the complete response, seconds.
        check_send : callable
            Called right before the first byte is sent; it may raise to send nothing.
        later_deadline : callable, optional
            Returns the deadline as of now, which may be later than the first one.

        Returns
        -------
        tuple of response.Response and str
            The response, and why the connection can't be reused; empty if it can.

        Raises
        ------
        error.UpstreamError
            The response is broken or belongs to another request.
        httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException
        """
        self._identifiers.add(identifier)
        self._stream.begin_request(
            identifier, deadline, check_send, later_deadline, request.method != b"HEAD"
        )
        http_response = await self._http.handle_async_request(request)
        headers = [(name.lower(), value) for name, value in http_response.headers]
        head = response.Response(http_response.status, headers, b"")
        returned = head.header(identifier_header)
        if returned is not None and returned != identifier:
            raise _broken("the response belongs to another request")
        has_body = request.method != b"HEAD" and head.status not in _EMPTY_STATUSES
        length = head.header(b"content-length") if has_body else None
        if length is not None:
            self._check_length(int(length))
        body = await self._read_body(http_response, length is not None)
        reason = self._end_reason(head, len(body), identifier)
        return head._replace(body=body), reason

    def _end_reason(self, head: response.Response, size: int, identifier: bytes) -> str:
        """Return why the connection can't be reused; empty if it can."""
        if not self._http.is_idle():
            return "closed"
        if not identifier:
            return "no identifier"
        if len(self._identifiers) >= MAX_REQUESTS:
            return "requests"
        if self._stream.chunks is not None:
            has_extra_bytes = not self._stream.chunks.has_clean_end
        else:
            has_extra_bytes = self._stream.body_bytes > size
        return "extra bytes" if has_extra_bytes else ""

    def _check_length(self, length: int) -> None:
        """Reject a response that states a length that may never be kept."""
        if length > min(response_stream.MAX_BODY_BYTES, self._memory.largest_body):
            raise error.UpstreamError(
                kind.ErrorKind.ANSWER_TOO_LARGE,
                "the response states a length above the limit",
            )

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def _read_body(
        self, http_response: httpcore.Response, states_length: bool
    ) -> bytes:
        chunks = http_response.aiter_stream()
        async with contextlib.aclosing(chunks):
            with received_body.ReceivedBody(self._memory) as body:
                async for chunk in chunks:
                    if (
                        not body.add(chunk)
                        or body.size > response_stream.MAX_BODY_BYTES
                    ):
                        raise _not_kept(states_length)
                await http_response.aclose()
                return body.content()


def _not_kept(states_length: bool) -> error.UpstreamError:
    if states_length:
        # The length was accepted, so the response is not the one that is too large.
        return error.UpstreamError(
            kind.ErrorKind.MEMORY_USED_UP,
            "other bodies use up the memory for the response",
        )
    return error.UpstreamError(
        kind.ErrorKind.ANSWER_TOO_LARGE,
        "the response is larger than the limit or the free memory",
    )


def _broken(detail: str) -> error.UpstreamError:
    return error.UpstreamError(
        kind.ErrorKind.ANSWER_BROKEN, detail, executed.Executed.UNKNOWN
    )
