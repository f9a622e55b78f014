"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import contextlib
import json
import time
from typing import Any, NamedTuple
from urllib import parse

from standins import message

_ROWS_PER_ANSWER = 500
_MAX_WAIT_MS = 30000


class Row(NamedTuple):
    """A row; ``value`` is None if the row was removed."""

    value: bytes | None
    version: int


class Store:
    """Linearizable tables with conditional writes and feeds; nothing is lost."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], Row] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen on a free loopback port and return it."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, value: bytes | dict[str, Any]) -> int:
        """Write a row as the operator or a backend does; return its version."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._commit([((table, "", key), data)])

    def remove(self, table: str, key: str) -> int:
        """Remove a row."""
        return self._commit([((table, "", key), None)])

    def _commit(self, writes: list[tuple[tuple[str, str, str], bytes | None]]) -> int:
        self._version += 1
        for identity, value in writes:
            self._rows[identity] = Row(value, self._version)
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
            while (request := await message.read(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        writer.close()

    async def _answer(self, request: message.Message) -> bytes:
        path, _, query = request.target.partition("?")
        fields = dict(parse.parse_qsl(query))
        if path == "/rows-tx":
            return self._transact(json.loads(request.body))
        if path == "/rows-get":
            return self._get(fields)
        if path == "/rows-feed":
            return await self._feed(fields)
        return message.encode_json(404, {})

    def _transact(self, body: dict[str, Any]) -> bytes:
        for each in body.get("expect", []):
            row = self._rows.get(_identity(each))
            found = 0 if row is None or row.value is None else row.version
            if found != each["row_version"]:
                return message.encode_json(412, {"rows": []})
        writes: list[tuple[tuple[str, str, str], bytes | None]] = [
            (_identity(each), base64.b64decode(each["value"]))
            for each in body.get("puts", [])
        ]
        writes += [(_identity(each), None) for each in body.get("remove", [])]
        if any(table in ("op", "servers") for (table, _, _), _ in writes):
            return message.encode_json(403, {})
        self._commit(writes)
        return self._result([], False)

    def _get(self, fields: dict[str, str]) -> bytes:
        limit = min(_ROWS_PER_ANSWER, int(fields.get("limit", _ROWS_PER_ANSWER)))
        keys = sorted(
            (
                identity
                for identity, row in self._rows.items()
                if row.value is not None
                and identity[:2] == (fields["table"], fields.get("part", ""))
                and identity[2] >= fields.get("from", "")
            ),
            key=lambda identity: identity[2].encode(),
        )
        return self._result(keys[:limit], len(keys) > limit)

    async def _feed(self, fields: dict[str, str]) -> bytes:
        after = int(fields["after"])
        wait = min(_MAX_WAIT_MS, int(fields.get("wait_ms", "0"))) / 1000
        ends_at = time.monotonic() + wait
        while True:
            changed = sorted(
                (
                    identity
                    for identity, row in self._rows.items()
                    if identity[0] == fields["table"] and row.version > after
                ),
                key=lambda identity: self._rows[identity].version,
            )
            left = ends_at - time.monotonic()
            if changed or left <= 0.0:
                return self._result(changed, False)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _result(self, keys: list[tuple[str, str, str]], has_more: bool) -> bytes:
        rows = []
        for table, part, key in keys:
            value, version = self._rows[table, part, key]
            row = {"table": table, "part": part, "key": key, "row_version": version}
            if value is None:
                row["tombstoned"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            rows.append(row)
        result = {"rows": rows, "row_version": self._version, "has_more": has_more}
        return message.encode_json(200, {**result, "now_s": time.monotonic()})


def _identity(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry["table"], entry.get("part", ""), entry["key"]
