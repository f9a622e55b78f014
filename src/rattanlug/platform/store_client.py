"""Client of the platform's store."""

import base64
import json
import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple
from urllib import parse

import httpcore

from rattanlug.encoding import http_status, json_text
from rattanlug.errors import failure
from rattanlug.metrics import counters, histograms
from rattanlug.platform import decoding, names, store_error, store_write
from rattanlug.settings import address
from rattanlug.tables import store_era, store_read, store_row

# Allows two round trips between regions, which take about 0.11 s each.
CONNECT_TIMEOUT_SECONDS = 0.35
# The store responds within a few milliseconds unless it is overloaded.
CALL_TIMEOUT_SECONDS = 0.8
# The timeout of reads of whole tables grows to this while the store is slow: a VM that
# starts has no other source.
MAX_READ_TIMEOUT_SECONDS = 2.4
# Time for a feed call, a long poll for the changes of a table, beyond its wait.
FEED_MARGIN_SECONDS = 0.5
# Below the idle timeout of common HTTP servers.
IDLE_TIMEOUT_SECONDS = 4.0
# Many times the 1 MB of rows in one response; protects against a faulty store.
MAX_RESPONSE_BYTES = 16 << 20
_MAX_CONNECTIONS = 8
_ROWS_PER_CALL = 500
_MILLISECONDS = 1000.0
_LOG = logging.getLogger(__name__)

# Errors for the statuses that have a meaning for one kind of call. In the response to
# any other call, they are failures of the store.
_StatusErrors = Mapping[int, Callable[[], Exception]]
_FEED_ERRORS: _StatusErrors = {
    410: lambda: store_error.HistoryLostError(
        "the store no longer has the requested changes"
    )
}
_CONDITION_ERRORS: _StatusErrors = {
    412: lambda: store_error.ConditionFailedError(
        "a row does not have the expected version"
    )
}


class _Found(NamedTuple):
    """Content of a response and the era of the store."""

    content: dict[str, Any]
    era: int


class StoreClient:
    """Reads tables, follows their changes and commits conditional writes.

    Parameters
    ----------
    target : address.Address
    local_host : str
        Local address of outgoing connections.
    clock : callable
        Returns the current time, monotonic seconds.
    all_counters : counters.Counters
    all_histograms : histograms.Histograms
    backend : httpcore.AsyncNetworkBackend, optional
        Opens the connections; that of the library by default.
    era : store_era.StoreEra, optional
        Observes the era of each response.
    """

    def __init__(
        self,
        target: address.Address,
        local_host: str,
        clock: Callable[[], float],
        all_counters: counters.Counters,
        all_histograms: histograms.Histograms,
        backend: httpcore.AsyncNetworkBackend | None = None,
        era: store_era.StoreEra | None = None,
    ) -> None:
        self._target = target
        self._clock = clock
        self._counters = all_counters
        self._histograms = all_histograms
        self._pool = httpcore.AsyncConnectionPool(
            local_address=local_host,
            max_connections=_MAX_CONNECTIONS,
            max_keepalive_connections=_MAX_CONNECTIONS,
            keepalive_expiry=IDLE_TIMEOUT_SECONDS,
            retries=0,
            network_backend=backend,
        )
        self._era = era or store_era.StoreEra()
        self._read_timeout = CALL_TIMEOUT_SECONDS

    async def aclose(self) -> None:
        """Close all connections."""
        try:
            await self._pool.aclose()
        except OSError as exc:
            _LOG.warning("closing a connection", extra={"reason": str(exc)})

    async def read_table(self, table: str) -> store_read.StoreRead:
        """Read all rows of a table, page by page.

        The read has the version of its first page, so that changes between two pages
        are found by following the table. It begins again if the store comes back from
        an older copy between two pages.

        Raises
        ------
        store_error.StoreError
        """
        rows: list[store_row.StoreRow] = []
        sent_at = self._clock()
        first: _Found | None = None
        while True:
            query = {"table": table, "part": "", "limit": str(_ROWS_PER_CALL)}
            if rows:
                query["from"] = rows[-1].key + "\0"
            found = await self._read_page(query)
            if first is not None and found.era != first.era:
                if found.era < first.era:
                    raise store_error.StoreError("a page of an earlier era")
                first, rows, sent_at = None, [], self._clock()
                continue
            first = first or found
            page = _decode_rows(found.content)
            if page and rows and page[0].key <= rows[-1].key:
                raise store_error.StoreError("the store repeated rows of a page")
            rows.extend(page)
            if not found.content.get("has_more"):
                break
            if not page:
                raise store_error.StoreError("a page of the store has no usable rows")
        first_version = _store_read(first, [], sent_at).version
        return _store_read(found, rows, sent_at)._replace(version=first_version)

    async def _read_page(self, query: dict[str, str]) -> _Found:
        timeout = self._read_timeout
        started_at = self._clock()
        try:
            found = await self._get("rows-get", query, timeout, {})
        except store_error.StoreError:
            if self._clock() - started_at >= timeout:
                self._read_timeout = min(2.0 * timeout, MAX_READ_TIMEOUT_SECONDS)
            raise
        taken = self._clock() - started_at
        self._read_timeout = min(
            max(2.0 * taken, CALL_TIMEOUT_SECONDS), MAX_READ_TIMEOUT_SECONDS
        )
        return found

    async def follow_table(
        self, table: str, after: int, wait: float
    ) -> store_read.StoreRead:
        """Wait for changes of a table with a feed call, which is a long poll.

        Parameters
        ----------
        table : str
        after : int
            Version after which changes are returned.
        wait : float
            Longest wait, seconds; after it, the result has no rows.

        Raises
        ------
        store_error.HistoryLostError
            The store no longer has the changes; the whole table must be read.
        store_error.StoreError
        """
        query = {
            "table": table,
            "after": str(after),
            "wait_ms": str(int(wait * _MILLISECONDS)),
        }
        sent_at = self._clock()
        found = await self._get(
            "rows-feed", query, wait + FEED_MARGIN_SECONDS, _FEED_ERRORS
        )
        return _store_read(found, _decode_rows(found.content), sent_at)

    async def commit(self, writes: Sequence[store_write.StoreWrite]) -> int:
        """Apply all writes in one transaction, or none.

        Returns
        -------
        int
            Version that the transaction gave to the written rows.

        Raises
        ------
        store_error.ConditionFailedError
            Only if a write has an expected version.
        store_error.StoreError
        """
        body = {
            "expect": [
                {**_row_identity(each), "row_version": each.expected_version}
                for each in writes
                if each.expected_version is not None
            ],
            "puts": [
                {**_row_identity(each), "value": base64.b64encode(each.value).decode()}
                for each in writes
                if each.value is not None
            ],
            "remove": [_row_identity(each) for each in writes if each.value is None],
        }
        content = json.dumps(body, separators=(",", ":")).encode()
        errors = _CONDITION_ERRORS if body["expect"] else {}
        found = await self._call(
            "POST", "/rows-tx", content, CALL_TIMEOUT_SECONDS, errors
        )
        try:
            return _row_version(found.content)
        except decoding.MalformedValueError as exc:
            raise store_error.StoreError(
                f"the store's response: {exc}", maybe_applied=True
            ) from exc

    async def _get(
        self, call: str, query: dict[str, str], timeout: float, errors: _StatusErrors
    ) -> _Found:
        target = f"/{call}?{parse.urlencode(query)}"
        return await self._call("GET", target, None, timeout, errors)

    async def _call(
        self,
        method: str,
        target: str,
        content: bytes | None,
        timeout: float,
        errors: _StatusErrors,
    ) -> _Found:
        call = target.partition("?")[0][1:]
        started_at = self._clock()
        try:
            status, body, era = await self._exchange(method, target, content, timeout)
            found = _Found(_parse(status, body, content is not None, errors), era)
        except store_error.ConditionFailedError:
            self._counters.add("store_calls", call=call, outcome="conflict")
            raise
        except store_error.StoreError:
            self._counters.add("store_calls", call=call, outcome="failed")
            raise
        self._counters.add("store_calls", call=call, outcome="ok")
        self._histograms.record("store_call", self._clock() - started_at, call=call)
        return found

    async def _exchange(
        self, method: str, target: str, content: bytes | None, timeout: float
    ) -> tuple[int, bytes, int]:
        """Return the status, the body and the era of the response."""
        url = httpcore.URL(
            scheme="http",
            host=self._target.host,
            port=self._target.port,
            target=target,
        )
        headers = {"Host": f"{self._target.host}:{self._target.port}"}
        if content is not None:
            headers["Content-Type"] = "application/json"
        is_write = content is not None
        # No limit on the whole call: it would also run while this process is busy.
        limits = dict.fromkeys(("read", "write", "pool"), timeout)
        limits["connect"] = CONNECT_TIMEOUT_SECONDS
        try:
            async with self._pool.stream(
                method,
                url,
                headers=headers,
                content=content,
                extensions={"timeout": limits},
            ) as response:
                if response.status not in http_status.FINAL:
                    raise store_error.StoreError(
                        f"no response has the status {response.status}", is_write
                    )
                era = self._observe_era(response)
                body = await _read_body(response, is_write)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            raise store_error.StoreError("cannot connect to the store") from exc
        except (httpcore.ReadTimeout, httpcore.WriteTimeout) as exc:
            raise store_error.StoreError(
                f"the store did not respond within {timeout:g} s", is_write
            ) from exc
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            # Closing the connection may report an error.
            OSError,
        ) as exc:
            failure.drop_tracebacks(exc)
            raise store_error.StoreError(
                f"the connection to the store broke: {type(exc).__name__}", is_write
            ) from exc
        return response.status, body, era

    def _observe_era(self, response: httpcore.Response) -> int:
        """Return the era of a response; that known if the store sends none."""
        for name, value in response.headers:
            if name.lower() == names.STORE_ERA:
                try:
                    era = decoding.integer_text(value.decode("latin-1"))
                except decoding.MalformedValueError as exc:
                    self._counters.add("store_eras_unreadable")
                    _LOG.warning(
                        "ignoring the era of the store", extra={"reason": str(exc)}
                    )
                    break
                self._era.observe(era)
                return era
        return self._era.current


async def _read_body(response: httpcore.Response, is_write: bool) -> bytes:
    body = bytearray()
    async for chunk in response.aiter_stream():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise store_error.StoreError("the store's response is too large", is_write)
    return bytes(body)


def _parse(
    status: int, content: bytes, is_write: bool, errors: _StatusErrors
) -> dict[str, Any]:
    if status in errors:
        raise errors[status]()
    if status != 200:
        raise store_error.StoreError(f"the store responded with status {status}")
    try:
        found = json_text.decode(content)
    except ValueError as exc:
        raise store_error.StoreError(
            "the store's response is not JSON", is_write
        ) from exc
    if not isinstance(found, dict):
        raise store_error.StoreError(
            "the store's response is not a JSON object", is_write
        )
    return found


def _row_identity(write: store_write.StoreWrite) -> dict[str, str]:
    return {"table": write.table, "part": "", "key": write.key}


def _decode_rows(found: dict[str, Any]) -> list[store_row.StoreRow]:
    try:
        return [
            _decode_row(each)
            for each in decoding.objects(found, "rows", required=True)
            if _has_usable_key(each)
        ]
    except (TypeError, ValueError) as exc:
        raise store_error.StoreError("the store's response has malformed rows") from exc


def _has_usable_key(found: dict[str, Any]) -> bool:
    """Tell whether the key of a row, which any writer may choose, can be encoded."""
    try:
        decoding.field(found, "key", str)
    except decoding.MalformedValueError as exc:
        _LOG.warning("ignoring a row of the store", extra={"reason": str(exc)})
        return False
    return True


def _decode_row(found: dict[str, Any]) -> store_row.StoreRow:
    return store_row.StoreRow(
        found["key"],
        base64.b64decode(found.get("value") or ""),
        _row_version(found),
        bool(found.get("tombstoned")),
    )


def _row_version(found: dict[str, Any]) -> int:
    if found.get("row_version") is None:
        return 0
    return decoding.field(found, "row_version", int)


def _store_read(
    found: _Found, rows: list[store_row.StoreRow], sent_at: float
) -> store_read.StoreRead:
    try:
        version = _row_version(found.content)
        store_now = decoding.number(found.content, "now_s", 0.0)
    except decoding.MalformedValueError as exc:
        raise store_error.StoreError(f"the store's response: {exc}") from exc
    return store_read.StoreRead(
        rows,
        version,
        store_now,
        sent_at,
        found.era,
    )
