"""HTTP client for upstreams, for ``rattanlug daemon``.

``rattanlug gateway`` uses ``connection_pools``.
"""

import httpcore
import trio

from rattanlug.errors import error, executed, failure, kind
from rattanlug.upstream import counting_stream, recent_request_ids, response

_MAX_RESPONSE_BYTES = 8 * 1024 * 1024
_MAX_DOCUMENT_BYTES = 64 * 1024
_MAX_CONNECTIONS = 512
_MAX_IDLE_SECONDS = 20.0
_CONNECT_TIMEOUT_SECONDS = 1.0
_MAX_CONNECTION_AGE_SECONDS = 30.0
# Request identifiers are remembered for as long as a connection can stay open: its age,
# at most 30 s, is checked at the end of each response, and the next response ends at
# most an idle time of 20 s and a request of 10 s later.
_REQUEST_ID_WINDOW_SECONDS = 60.0
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
        # For requests whose identifier was used recently. The identifier alone can't
        # distinguish their response from a duplicate of the response to the earlier
        # request, so each of them gets a new connection.
        self._single_use_pool = _open_pool(local_host, 0)
        self._recent_request_ids = recent_request_ids.RecentRequestIds(
            _REQUEST_ID_WINDOW_SECONDS
        )

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
        """Send one request and return the complete response.

        Cancelling the call closes the connection, which tells the upstream that the
        request is cancelled.

        Parameters
        ----------
        host : str
        port : int
        method : str
        target : bytes
            Path with query.
        headers : list of tuple of bytes
            Must contain ``Request-Id``; the response has to repeat it.
        body : bytes
        timeout : float
            Time limit for the whole call, seconds.

        Returns
        -------
        response.Response

        Raises
        ------
        error.UpstreamError
            With ``executed`` NO when no byte can have been sent, else UNKNOWN.
        """
        url = httpcore.URL(scheme=b"http", host=host, port=port, target=target)
        limits = {
            "connect": min(_CONNECT_TIMEOUT_SECONDS, timeout),
            "read": timeout,
            "write": timeout,
            "pool": timeout,
        }
        identifier = _identifier(headers)
        is_new = self._recent_request_ids.is_new(
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
                ) as http_response:
                    return await _read_response(http_response, identifier)
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
            failure.drop_tracebacks(exc)
            raise error.UpstreamError(
                kind.ErrorKind.ANSWER_BROKEN,
                "the connection broke before the complete response arrived",
            ) from exc

    async def fetch(self, host: str, port: int, target: bytes, timeout: float) -> bytes:
        """Fetch a small document without ``Request-Id``, such as a load report.

        Raises
        ------
        error.UpstreamError
            When no response with status 200 arrives in time.
        """
        url = httpcore.URL(scheme=b"http", host=host, port=port, target=target)
        headers = [(b"host", f"{host}:{port}".encode())]
        try:
            with trio.fail_after(timeout):
                async with self._pool.stream(
                    "GET", url, headers=headers
                ) as http_response:
                    content = await _read_body(http_response, _MAX_DOCUMENT_BYTES)
        except (
            trio.TooSlowError,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            failure.drop_tracebacks(exc)
            raise _failed(
                "the document did not arrive", executed.Executed.UNKNOWN
            ) from exc
        if http_response.status != _OK:
            raise _failed(
                f"the response has status {http_response.status}",
                executed.Executed.UNKNOWN,
            )
        return content

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pool.aclose()
        await self._single_use_pool.aclose()


def _failed(detail: str, was_executed: executed.Executed) -> error.UpstreamError:
    return error.UpstreamError(kind.ErrorKind.UPSTREAM_FAILED, detail, was_executed)


def _open_pool(local_host: str, max_idle: int) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=_MAX_CONNECTIONS,
        max_keepalive_connections=max_idle,
        keepalive_expiry=_MAX_IDLE_SECONDS,
        local_address=local_host,
        retries=0,
        network_backend=counting_stream.CountingBackend(),
    )


def _identifier(headers: response.Headers) -> bytes:
    return next(value for name, value in headers if name.lower() == _REQUEST_ID)


async def _read_response(
    http_response: httpcore.Response, expected: bytes
) -> response.Response:
    headers = [(name.lower(), value) for name, value in http_response.headers]
    names = {name for name, _ in headers}
    if not names & {b"content-length", b"transfer-encoding"} and (
        http_response.status not in (204, 304)
    ):
        # If the end of the connection ends the body, a truncated response can't be
        # detected.
        raise error.UpstreamError(
            kind.ErrorKind.ANSWER_BROKEN, "the response does not state its length"
        )
    head = response.Response(http_response.status, headers, b"")
    if head.header(_REQUEST_ID) != expected:
        # Raised before the body is read, so that the pool closes the connection: the
        # other buffered bytes may belong to other requests too.
        raise error.UpstreamError(
            kind.ErrorKind.ANSWER_BROKEN, "the response belongs to another request"
        )
    return head._replace(body=await _read_body(http_response, _MAX_RESPONSE_BYTES))


async def _read_body(http_response: httpcore.Response, limit: int) -> bytes:
    chunks = []
    size = 0
    async for chunk in http_response.aiter_stream():
        size += len(chunk)
        if size > limit:
            raise error.UpstreamError(
                kind.ErrorKind.ANSWER_TOO_LARGE,
                f"the response is larger than {limit} bytes",
            )
        chunks.append(chunk)
    await _close_unless_clean(http_response, size)
    return b"".join(chunks)


async def _close_unless_clean(http_response: httpcore.Response, size: int) -> None:
    """Close a connection that is old or has bytes beyond the response just read.

    The pool would take such bytes, for example a duplicate of the response, for the
    response to the next request; a caller that repeats a ``Request-Id`` would get it.
    The encoded length of a chunked response is unknown, so its connection is closed
    as well. Duplicates that arrive later are detected by their identifier, which no
    other request on the connection has, because the age of connections is limited.
    The pool drops a closed connection before its next use.
    """
    stream = http_response.extensions["network_stream"]
    chunked = any(
        name.lower() == b"transfer-encoding" for name, _ in http_response.headers
    )
    old = stream.age(trio.current_time()) > _MAX_CONNECTION_AGE_SECONDS
    if chunked or old or stream.body_bytes > size:
        await stream.aclose()
