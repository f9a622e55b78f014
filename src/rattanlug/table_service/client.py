"""Client for the platform's HTTP interface."""

import ipaddress
import json
from collections.abc import Sequence
from typing import Any, NamedTuple
from urllib import parse

import httpcore
import trio

from rattanlug.encoding import json_text
from rattanlug.errors import failure
from rattanlug.settings import address
from rattanlug.table_service import error, listed_vm, row, write
from rattanlug.upstream import counting_stream

# A connection inside a region opens in about 1 ms and between regions in about 60 ms.
CONNECT_TIMEOUT_S = 0.5
# Longer than a slow response between regions, shorter than a request's usual deadline.
REQUEST_TIMEOUT_S = 1.5
# Shorter than the idle timeout of common HTTP servers: a write on a connection that the
# server is just closing would have an unknown outcome.
KEEPALIVE_EXPIRY_S = 3.0
MAX_CONNECTIONS = 16
# Protects against a faulty platform; rules and tables take far less.
MAX_RESPONSE_BYTES = 16 << 20

# Statuses with which the platform states that it did not accept the request.
_NOT_APPLIED = frozenset({400, 401, 403, 404, 405, 411, 413, 414, 415, 422, 429, 431})


class _Response(NamedTuple):
    status: int
    body: bytes


class _SendTrace:
    """Records whether any byte of a request may have been sent."""

    def __init__(self):
        self._sent = False

    @property
    def sent(self) -> bool:
        """True once sending has begun."""
        return self._sent

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Receive httpcore's trace events."""
        if event.endswith("send_request_headers.started"):
            self._sent = True


class PlatformClient:
    """Accesses the table service, the object store and the VM list.

    Parameters
    ----------
    address : address.Address
        Address of the platform.
    local_host : str
        Source address of outgoing connections.
    timeout : float, optional
        Longest time for one request, seconds.

    Notes
    -----
    Every coroutine takes ``timeout`` in seconds to replace the client's own, and
    raises `error.PlatformError` when no usable response arrives in that time.
    """

    def __init__(
        self,
        address: address.Address,
        local_host: str,
        *,
        timeout: float = REQUEST_TIMEOUT_S,
    ):
        self._address = address
        self._timeout = timeout
        self._pool = httpcore.AsyncConnectionPool(
            local_address=local_host,
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
            retries=0,
            network_backend=counting_stream.CountingBackend(),
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def get(
        self, table: str, key: str, *, timeout: float | None = None
    ) -> row.Row | None:
        """Read one row, or return None when it is absent."""
        target = f"/v1/tables/{_quote(table)}/{_quote(key)}"
        response = await self._read(target, timeout)
        if response.status == 404:
            return None
        found = _parse(response, maybe_applied=False)
        with _MalformedGuard(False):
            return row.Row(key, int(found["revision"]), found["value"])

    async def scan(
        self, table: str, prefix: str, *, timeout: float | None = None
    ) -> list[row.Row]:
        """Read all rows whose key begins with a prefix."""
        target = f"/v1/tables/{_quote(table)}?prefix={_quote(prefix)}"
        found = _parse(await self._read(target, timeout), maybe_applied=False)
        with _MalformedGuard(False):
            return [
                row.Row(str(each["key"]), int(each["revision"]), each["value"])
                for each in found["rows"]
            ]

    async def commit(
        self, writes: Sequence[write.Write], *, timeout: float | None = None
    ) -> list[int]:
        """Apply all writes in one transaction, or none of them.

        Returns
        -------
        list of int
            The new revision of each row.

        Raises
        ------
        error.ConflictError
            A row did not have the expected revision; nothing was written.
        error.PlatformError
            With ``maybe_applied`` true when the transaction may have taken effect.
        """
        body = json.dumps({"writes": [each._asdict() for each in writes]})
        response = await self._request(
            "POST", "/v1/transactions", body.encode(), timeout, writes_data=True
        )
        if response.status == 409:
            raise _conflict(_parse(response, maybe_applied=False, accepted=409))
        found = _parse(response, maybe_applied=True)
        with _MalformedGuard(True):
            revisions = [int(each) for each in found["revisions"]]
        if len(revisions) != len(writes):
            raise error.PlatformError(
                f"platform answered {len(revisions)} revisions for {len(writes)} "
                "writes",
                True,
            )
        return revisions

    async def get_object(
        self, name: str, *, timeout: float | None = None
    ) -> bytes | None:
        """Read one object, or return None when it is absent."""
        response = await self._read(f"/v1/objects/{_quote(name)}", timeout)
        if response.status == 404:
            return None
        _check_status(response, maybe_applied=False)
        return response.body

    async def put_object(
        self, name: str, data: bytes, *, timeout: float | None = None
    ) -> None:
        """Store one object, replacing any that has the same name."""
        response = await self._request(
            "PUT", f"/v1/objects/{_quote(name)}", data, timeout, writes_data=True
        )
        _check_status(response, maybe_applied=True)

    async def list_vms(
        self, *, timeout: float | None = None
    ) -> list[listed_vm.ListedVm]:
        """Read the list of live and leaving VMs."""
        found = _parse(await self._read("/v1/vms", timeout), maybe_applied=False)
        with _MalformedGuard(False):
            return [
                listed_vm.ListedVm(
                    str(each["vm"]),
                    str(each["data_centre"]),
                    address.Address(str(each["host"]), int(each["port"])),
                    address.Address(str(each["peer_host"]), int(each["peer_port"])),
                    str(each["state"]),
                )
                for each in found
            ]

    async def _read(self, target: str, timeout: float | None) -> _Response:
        return await self._request("GET", target, None, timeout, writes_data=False)

    async def _request(
        self,
        method: str,
        target: str,
        body: bytes | None,
        timeout: float | None,
        *,
        writes_data: bool,
    ) -> _Response:
        limit = self._timeout if timeout is None else timeout
        send_trace = _SendTrace()
        url = httpcore.URL(
            scheme="http",
            host=self._address.host,
            port=self._address.port,
            target=target,
        )
        try:
            with trio.fail_after(limit):
                async with self._pool.stream(
                    method,
                    url,
                    headers={"Host": _host_header(self._address)},
                    content=body,
                    extensions={
                        "timeout": {
                            "connect": min(CONNECT_TIMEOUT_S, limit),
                            "pool": limit,
                        },
                        "trace": send_trace.trace,
                    },
                ) as response:
                    content = await _read_body(response, writes_data)
        except trio.TooSlowError as exc:
            raise error.PlatformError(
                f"platform did not answer {method} in {limit:g} s",
                writes_data and send_trace.sent,
            ) from exc
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as exc:
            failure.drop_tracebacks(exc)
            raise error.PlatformError(
                f"platform request {method} failed: {type(exc).__name__} {exc}",
                writes_data and send_trace.sent,
            ) from exc
        return _Response(response.status, content)


async def _read_body(response: httpcore.Response, maybe_applied: bool) -> bytes:
    body = bytearray()
    async for chunk in response.aiter_stream():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise error.PlatformError("platform answer is too large", maybe_applied)
    return bytes(body)


class _MalformedGuard:
    """Turns errors from reading a malformed response into ``PlatformError``."""

    def __init__(self, maybe_applied: bool):
        self._maybe_applied = maybe_applied

    def __enter__(self):
        return self

    def __exit__(self, exc_type, exc, traceback):
        if isinstance(
            exc, LookupError | TypeError | ValueError | AttributeError | OverflowError
        ):
            raise error.PlatformError(
                f"platform answer is malformed: {exc}", self._maybe_applied
            ) from exc


def _check_status(
    response: _Response, *, maybe_applied: bool, accepted: int = 200
) -> None:
    if response.status != accepted:
        raise error.PlatformError(
            f"platform answered with status {response.status}",
            maybe_applied and response.status not in _NOT_APPLIED,
            response.status,
        )


def _parse(response: _Response, *, maybe_applied: bool, accepted: int = 200) -> Any:
    _check_status(response, maybe_applied=maybe_applied, accepted=accepted)
    with _MalformedGuard(maybe_applied):
        return json_text.decode(response.body)


def _conflict(found: Any) -> error.ConflictError:
    # A 409 states that nothing was written even if its details cannot be read.
    with _MalformedGuard(False):
        winner = row.Row(str(found["key"]), int(found["revision"]), found["value"])
        return error.ConflictError(int(found["index"]), winner)


def _quote(text: str) -> str:
    return parse.quote(text, safe="")


def _host_header(target: address.Address) -> str:
    if ipaddress.ip_address(target.host).version == 6:
        return f"[{target.host}]:{target.port}"
    return f"{target.host}:{target.port}"
