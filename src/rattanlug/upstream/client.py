"""HTTP client for upstreams."""

import httpcore
import trio

from rattanlug.errors import error, executed, kind
from rattanlug.upstream import exchange_stream, recent_identifiers, response

_MAX_ANSWER_BYTES = 8 * 1024 * 1024
_MAX_DOCUMENT_BYTES = 64 * 1024
_MAX_CONNECTIONS = 512
_KEEPALIVE_SECONDS = 20.0
_CONNECT_TIMEOUT_SECONDS = 1.0
_LONGEST_CONNECTION_SECONDS = 30.0
# No connection lives longer: its age is judged when an answer ends, at most one
# request of 10 s and an idle time of 20 s later.
_IDENTIFIER_SECONDS = 60.0
_REQUEST_ID = b"request-id"
_OK = 200


class UpstreamClient:
    """Connection pool towards all upstreams.

    Parameters
    ----------
    local_host : str
        Source address of connections.
    """

    def __init__(self, local_host: str) -> None:
        self._pool = _open_pool(local_host, _MAX_CONNECTIONS)
        # For requests whose identifier does not tell their answer from an earlier one.
        self._single_use_pool = _open_pool(local_host, 0)
        self._identifiers = recent_identifiers.RecentIdentifiers(_IDENTIFIER_SECONDS)

    async def send(
        self,
        host: str,
        port: int,
        method: str,
        target: bytes,
        headers: response.Headers,
        body: bytes,
        timeout: float,
    ) -> response.Response:
        """Send one request and return the whole answer.

        Cancelling the call closes the connection, which the upstream sees as the
        cancellation of the request.

        Parameters
        ----------
        host : str
        port : int
        method : str
        target : bytes
            Path with query.
        headers : list of tuple of bytes
            Must hold ``Request-Id``; the answer has to return it.
        body : bytes
        timeout : float
            Seconds for everything.

        Returns
        -------
        response.Response

        Raises
        ------
        error.UpstreamError
            With ``executed`` NO when no byte can have left, else UNKNOWN.
        """
        url = httpcore.URL(scheme=b"http", host=host, port=port, target=target)
        limits = {
            "connect": min(_CONNECT_TIMEOUT_SECONDS, timeout),
            "read": timeout,
            "write": timeout,
            "pool": timeout,
        }
        identifier = _identifier(headers)
        is_new = self._identifiers.is_new(
            f"{host}:{port}", identifier, trio.current_time()
        )
        pool = self._pool if is_new else self._single_use_pool
        try:
            with trio.fail_after(timeout):
                async with pool.stream(
                    method,
                    url,
                    headers=headers,
                    content=body,
                    extensions={"timeout": limits},
                ) as answer:
                    return await _read_whole(answer, identifier)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            raise _failed(
                "the connection could not be opened", executed.Executed.NO
            ) from exc
        except httpcore.PoolTimeout as exc:
            raise _failed(
                "no connection was free in time", executed.Executed.NO
            ) from exc
        except (trio.TooSlowError, httpcore.TimeoutException) as exc:
            raise error.UpstreamError(
                kind.ErrorKind.DEADLINE_EXCEEDED,
                "the upstream did not answer within the deadline",
            ) from exc
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            raise error.UpstreamError(
                kind.ErrorKind.ANSWER_BROKEN,
                "the connection broke before the whole answer arrived",
            ) from exc

    async def fetch(self, host: str, port: int, target: bytes, timeout: float) -> bytes:
        """Read a small document that carries no ``Request-Id``, such as a report.

        Raises
        ------
        error.UpstreamError
            When no answer of status 200 arrives in time.
        """
        url = httpcore.URL(scheme=b"http", host=host, port=port, target=target)
        headers = [(b"host", f"{host}:{port}".encode())]
        try:
            with trio.fail_after(timeout):
                async with self._pool.stream("GET", url, headers=headers) as answer:
                    content = await _read_body(answer, _MAX_DOCUMENT_BYTES)
        except (
            trio.TooSlowError,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            raise _failed(
                "the document did not arrive", executed.Executed.UNKNOWN
            ) from exc
        if answer.status != _OK:
            raise _failed(
                f"the answer has status {answer.status}", executed.Executed.UNKNOWN
            )
        return content

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pool.aclose()
        await self._single_use_pool.aclose()


def _failed(detail: str, did_run: executed.Executed) -> error.UpstreamError:
    return error.UpstreamError(kind.ErrorKind.UPSTREAM_FAILED, detail, did_run)


def _open_pool(local_host: str, idle: int) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=_MAX_CONNECTIONS,
        max_keepalive_connections=idle,
        keepalive_expiry=_KEEPALIVE_SECONDS,
        local_address=local_host,
        retries=0,
        network_backend=exchange_stream.ExchangeBackend(),
    )


def _identifier(headers: response.Headers) -> bytes:
    return next(value for name, value in headers if name.lower() == _REQUEST_ID)


async def _read_whole(answer: httpcore.Response, expected: bytes) -> response.Response:
    headers = [(name.lower(), value) for name, value in answer.headers]
    names = {name for name, _ in headers}
    if not names & {b"content-length", b"transfer-encoding"} and (
        answer.status not in (204, 304)
    ):
        # An answer framed by the end of the connection cannot be told from a cut one.
        raise error.UpstreamError(
            kind.ErrorKind.ANSWER_BROKEN, "the answer does not state its length"
        )
    head = response.Response(answer.status, headers, b"")
    if head.header(_REQUEST_ID) != expected:
        # Raised before the body is read, so that the pool closes the connection:
        # whatever else is buffered on it belongs to other requests as well.
        raise error.UpstreamError(
            kind.ErrorKind.ANSWER_BROKEN, "the answer belongs to another request"
        )
    return head._replace(body=await _read_body(answer, _MAX_ANSWER_BYTES))


async def _read_body(answer: httpcore.Response, limit: int) -> bytes:
    chunks = []
    size = 0
    async for chunk in answer.aiter_stream():
        size += len(chunk)
        if size > limit:
            raise error.UpstreamError(
                kind.ErrorKind.ANSWER_TOO_LARGE,
                f"the answer is larger than {limit} bytes",
            )
        chunks.append(chunk)
    await _close_unless_clean(answer, size)
    return b"".join(chunks)


async def _close_unless_clean(answer: httpcore.Response, size: int) -> None:
    """Close a connection that is old or holds bytes beyond the answer just read.

    The pool would take such bytes, for instance a second copy of the answer, for the
    answer to the next request; a caller that repeats a ``Request-Id`` would get it.
    The length of a chunked answer on the wire is not known, so its connection is
    closed as well. Copies that arrive later are told by their identifier, which no
    other request on the same connection has as long as connections end in time. The
    pool drops a closed connection before its next use.
    """
    stream = answer.extensions["network_stream"]
    chunked = any(name.lower() == b"transfer-encoding" for name, _ in answer.headers)
    old = stream.age(trio.current_time()) > _LONGEST_CONNECTION_SECONDS
    if chunked or old or stream.body_bytes > size:
        await stream.aclose()
