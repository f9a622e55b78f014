"""HTTP requests of the launcher to the processes of a trial."""

import json
from typing import Any, NamedTuple

import httpcore
import trio


class Response(NamedTuple):
    """Status, headers with lower-case names and body."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON data."""
        return json.loads(self.body)


async def request(
    host: str,
    port: int,
    method: str,
    target: str,
    data: Any = None,
    *,
    headers: dict[str, str] | None = None,
    source: str | None = None,
    timeout: float = 5.0,
) -> Response:
    """Send one request on a new connection.

    ``data`` is sent unchanged if it is bytes, else as JSON.

    Raises
    ------
    httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError
    """
    body = data
    if data is not None and not isinstance(data, bytes):
        body = json.dumps(data).encode()
    url = httpcore.URL(scheme="http", host=host, port=port, target=target)
    async with httpcore.AsyncConnectionPool(local_address=source) as pool:
        with trio.fail_after(timeout):
            response = await pool.request(
                method,
                url,
                headers={"Host": f"{host}:{port}", **(headers or {})},
                content=body,
            )
    response_headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers
    }
    return Response(response.status, response_headers, response.content)


FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    trio.TooSlowError,
)
