"""The HTTP interface of the platform stand-in."""

import json
from typing import Any
from urllib import parse

import trio

from trial import clock, http_server
from trial.platform import condition, limits, tables, vm_list

WRITES_PER_S = 300
READS_PER_S = 2000
VM_LIST_LAG_S = 2.0

_OVER_LIMIT = http_server.json_response({"detail": "over the limit"}, 503)
_CLOSE_CONNECTION = http_server.Response(0, fault="close")


class PlatformServer:
    """Handles requests to the table service, the object store and the VM list.

    A transaction counts as one write, whatever the number of its rows.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs writes that take effect after their connection was closed.
    """

    def __init__(self, nursery: trio.Nursery):
        self._nursery = nursery
        self._tables = tables.Tables()
        self._objects: dict[str, bytes] = {}
        self._vms = vm_list.VmList(VM_LIST_LAG_S)
        self._writes = limits.RateLimit(WRITES_PER_S)
        self._reads = limits.RateLimit(READS_PER_S)
        self._condition = condition.Condition()
        self._requests = {"read": 0, "write": 0}

    async def answer(self, request: http_server.Request) -> http_server.Response:
        """Handle one request."""
        if request.path.startswith("/.control"):
            return self._control(request)
        if request.path.startswith("/.metrics"):
            return http_server.json_response(self._metrics())
        if self._condition.mode == "down":
            return _CLOSE_CONNECTION
        if self._condition.mode == "hanging":
            await trio.sleep_forever()
        is_write = request.method in ("POST", "PUT")
        self._requests["write" if is_write else "read"] += 1
        limit = self._writes if is_write else self._reads
        if not limit.accept(clock.now()):
            return _OVER_LIMIT
        delay = self._condition.delay if self._condition.mode == "slow" else 0.0
        await trio.sleep(delay / 2)
        if is_write and self._condition.late_writes:
            return self._apply_late(request)
        response = self._apply(request)
        if is_write and self._condition.drop_answers:
            remaining = self._condition.drop_answers - 1
            self._condition = self._condition._replace(drop_answers=remaining)
            return _CLOSE_CONNECTION
        await trio.sleep(delay / 2)
        return response

    def _apply(self, request: http_server.Request) -> http_server.Response:
        parts = [parse.unquote(each) for each in request.path.split("/", 4)[1:]]
        match request.method, parts:
            case "GET", ["v1", "tables", table]:
                rows = self._tables.scan(table, request.parameter("prefix") or "")
                return http_server.json_response({"rows": rows})
            case "GET", ["v1", "tables", table, key]:
                row = self._tables.get(table, key)
                if row is None:
                    return http_server.json_response({"detail": "no such row"}, 404)
                revision, value = row
                return http_server.json_response({"revision": revision, "value": value})
            case "POST", ["v1", "transactions"]:
                return self._apply_transaction(request.body)
            case "PUT", ["v1", "objects", *name]:
                self._objects["/".join(name)] = request.body
                return http_server.Response(200)
            case "GET", ["v1", "objects", *name]:
                data = self._objects.get("/".join(name))
                if data is None:
                    return http_server.json_response({"detail": "no such object"}, 404)
                return http_server.Response(200, (), data)
            case "GET", ["v1", "vms"]:
                return http_server.json_response(self._vms.read(clock.now()))
        return http_server.json_response({"detail": "no such resource"}, 404)

    def _apply_transaction(self, body: bytes) -> http_server.Response:
        try:
            writes = [
                {
                    "table": str(each["table"]),
                    "key": str(each["key"]),
                    "expected": int(each["expected"]),
                    "value": each["value"],
                }
                for each in json.loads(body)["writes"]
            ]
        except (KeyError, TypeError, ValueError) as exc:
            return http_server.json_response({"detail": f"malformed: {exc!r}"}, 400)
        status, data = self._tables.apply(writes)
        return http_server.json_response(data, status)

    def _apply_late(self, request: http_server.Request) -> http_server.Response:
        remaining = self._condition.late_writes - 1
        self._condition = self._condition._replace(late_writes=remaining)
        delay = self._condition.delay

        async def apply() -> None:
            await trio.sleep(delay)
            self._apply(request)

        self._nursery.start_soon(apply)
        return _CLOSE_CONNECTION

    def _control(self, request: http_server.Request) -> http_server.Response:
        data = json.loads(request.body or b"{}")
        if request.path == "/.control/vms":
            entry = {key: value for key, value in data.items() if key != "vm"}
            self._vms.change(data["vm"], entry or None, clock.now())
            return http_server.json_response({})
        unknown = set(data) - set(condition.Condition._fields)
        if unknown or data.get("mode", "up") not in condition.MODES:
            return http_server.json_response({"detail": "unknown condition"}, 400)
        self._condition = self._condition._replace(**data)
        return http_server.json_response(self._condition._asdict())

    def _metrics(self) -> dict[str, Any]:
        return {
            "requests": self._requests,
            "refused_writes": self._writes.rejected,
            "refused_reads": self._reads.rejected,
        }


async def run_server(host: str, port: int) -> None:
    """Serve until cancelled."""
    async with trio.open_nursery() as nursery:
        server = PlatformServer(nursery)
        await http_server.serve(host, port, server.answer)
