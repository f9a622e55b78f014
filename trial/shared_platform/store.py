"""A stand-in for the platform's store."""

import base64
import json
from typing import Any, NamedTuple

import trio

from trial import http_server

ERA_HEADER = "Store-Era"
_MILLISECONDS = 1000.0


class StoredRow(NamedTuple):
    """One row; ``value`` is None if the row was removed."""

    value: bytes | None
    version: int


class Copy(NamedTuple):
    """State of the store at one transaction."""

    tables: dict[str, dict[str, StoredRow]]
    version: int


class LostWrite(NamedTuple):
    """Write of an operator or an upstream that a return from a copy undid."""

    table: str
    key: str
    value: bytes | None


class Store:
    """In-memory tables with conditional writes and change feeds.

    Faults are set by tests: ``status`` replaces each response by one with that status,
    ``lose_answers`` applies calls but closes the connection without a response,
    ``silent`` leaves calls unanswered, ``drop_history`` makes feeds that ask for older
    changes fail with 410, and callers whose host is in ``refused_hosts`` get 503.
    ``era`` is sent with each response; None sends no header.
    """

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, StoredRow]] = {}
        self._version = 0
        self._returned_version = 0
        self._change_event = trio.Event()
        self._oldest_version = 0
        # Writes of others than the system, by version.
        self._foreign_writes: list[tuple[int, LostWrite]] = []
        self._away = False
        self.era: int | None = 1
        self.status: int | None = None
        self.silent = False
        self.lose_answers = False
        self.refused_hosts: set[str] = set()
        self.calls: list[str] = []
        self.callers: list[str] = []

    @property
    def version(self) -> int:
        """Version of the last transaction."""
        return self._version

    def put(self, table: str, key: str, value: Any) -> int:
        """Write a row unconditionally; return its version."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._write_foreign(LostWrite(table, key, data))

    def remove(self, table: str, key: str) -> int:
        """Remove a row; return the version of the removal."""
        return self._write_foreign(LostWrite(table, key, None))

    def value(self, table: str, key: str) -> Any:
        """Return the decoded JSON value of a row, or None if there is none."""
        row = self._tables.get(table, {}).get(key)
        return None if row is None or row.value is None else json.loads(row.value)

    def drop_history(self) -> None:
        """Discard the history of changes; feeds that ask for it fail."""
        self._version += 1
        self._oldest_version = self._version
        self._notify_feeds()

    def copy(self) -> Copy:
        """Return a copy from which the store may come back."""
        tables = {name: dict(rows) for name, rows in self._tables.items()}
        return Copy(tables, self._version)

    def go_away(self) -> None:
        """Close the connections of all calls without a response."""
        self._away = True
        self._notify_feeds()

    def come_back(self, earlier: Copy) -> list[LostWrite]:
        """Come back from a copy in the next era.

        Returns
        -------
        list of LostWrite
            Latest lost write of each row that operators and upstreams wrote since.
        """
        self._tables = {name: dict(rows) for name, rows in earlier.tables.items()}
        self._version = self._returned_version = earlier.version
        self._oldest_version = min(self._oldest_version, earlier.version)
        self.era = None if self.era is None else self.era + 1
        self._away = False
        lost = [each for each in self._foreign_writes if each[0] > earlier.version]
        self._foreign_writes = [
            each for each in self._foreign_writes if each[0] <= earlier.version
        ]
        self._notify_feeds()
        return list({(each.table, each.key): each for _, each in lost}.values())

    def write_again(self, lost: list[LostWrite]) -> None:
        """Apply lost writes, each in a transaction of its own.

        Rows that have been written since the return aren't written again.
        """
        written = {
            (each.table, each.key)
            for version, each in self._foreign_writes
            if version > self._returned_version
        }
        for each in lost:
            if (each.table, each.key) not in written:
                self._write_foreign(each)

    async def handle(self, request: http_server.Request) -> http_server.Response:
        """Handle one call."""
        response = await self._handle(request)
        if self._away:
            return http_server.Response(200, fault="close")
        if self.era is None:
            return response
        headers = (*response.headers, (ERA_HEADER, str(self.era)))
        return response._replace(headers=headers)

    async def _handle(self, request: http_server.Request) -> http_server.Response:
        self.calls.append(request.path[1:])
        self.callers.append(request.source)
        if self._away:
            return http_server.json_response({}, 503)
        if request.source in self.refused_hosts:
            return http_server.json_response({}, 503)
        if self.silent:
            await trio.sleep_forever()
        if self.status is not None:
            return http_server.json_response({}, self.status)
        if request.path == "/rows-tx":
            result = self._transact(json.loads(request.body))
        elif request.path == "/rows-get":
            result = self._read(request)
        elif request.path == "/rows-feed":
            result = await self._feed(request)
        else:
            return http_server.json_response({"error": "unknown call"}, 404)
        if self.lose_answers:
            return http_server.Response(200, fault="close")
        return result

    def _read(self, request: http_server.Request) -> http_server.Response:
        table = request.parameter("table") or ""
        first = request.parameter("from") or ""
        rows = [
            _encode(table, key, row)
            for key, row in sorted(self._tables.get(table, {}).items())
            if row.value is not None and key >= first
        ]
        limit = int(request.parameter("limit") or 500)
        result = {"rows": rows[:limit], "has_more": len(rows) > limit}
        return self._respond(result)

    async def _feed(self, request: http_server.Request) -> http_server.Response:
        table = request.parameter("table") or ""
        after = int(request.parameter("after") or 0)
        timeout_seconds = float(request.parameter("wait_ms") or 0) / _MILLISECONDS
        with trio.move_on_after(timeout_seconds):
            while self._has_history(after) and not self._changes(table, after):
                await self._change_event.wait()
        if not self._has_history(after):
            return http_server.json_response({}, 410)
        return self._respond({"rows": self._changes(table, after)})

    def _has_history(self, after: int) -> bool:
        return not self._away and self._oldest_version <= after <= self._version

    def _changes(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = self._tables.get(table, {})
        changed = [(row.version, key) for key, row in rows.items()]
        return [
            _encode(table, key, rows[key])
            for version, key in sorted(changed)
            if version > after
        ]

    def _transact(self, body: dict[str, Any]) -> http_server.Response:
        for each in body.get("expect", []):
            row = self._tables.get(each["table"], {}).get(each["key"])
            version = 0 if row is None or row.value is None else row.version
            if version != each["row_version"]:
                return http_server.json_response({"rows": []}, 412)
        writes = [
            (each["table"], each["key"], base64.b64decode(each["value"]))
            for each in body.get("puts", [])
        ]
        writes += [
            (each["table"], each["key"], None) for each in body.get("remove", [])
        ]
        self._apply(writes)
        return self._respond({})

    def _write_foreign(self, write: LostWrite) -> int:
        version = self._apply([write])
        self._foreign_writes.append((version, write))
        return version

    def _apply(self, writes: list[tuple[str, str, bytes | None]]) -> int:
        self._version += 1
        for table, key, value in writes:
            row = StoredRow(value, self._version)
            self._tables.setdefault(table, {})[key] = row
        self._notify_feeds()
        return self._version

    def _notify_feeds(self) -> None:
        self._change_event.set()
        self._change_event = trio.Event()

    def _respond(self, result: dict[str, Any]) -> http_server.Response:
        now = round(trio.current_time(), 6)
        return http_server.json_response(
            {**result, "row_version": self._version, "now_s": now}
        )


def _encode(table: str, key: str, row: StoredRow) -> dict[str, Any]:
    result = {"table": table, "part": "", "key": key, "row_version": row.version}
    if row.value is None:
        return {**result, "tombstoned": True}
    return {**result, "value": base64.b64encode(row.value).decode()}
