"""A stand-in for an upstream of the platform."""

import collections
from typing import NamedTuple

import trio

from trial import http_server

_REQUEST_ID = "rattanlug-request-id"


class Execution(NamedTuple):
    """A request that an upstream executed."""

    request_id: str
    method: str
    path: str
    organisation: str | None
    body: bytes
    headers: dict[str, str]
    # Start time in seconds, and name of the upstream.
    at: float
    upstream: str
    # Process that plays the upstream, if it isn't the run's.
    process: str = ""


class Upstream:
    """Executes requests in slots, caches objects and rejects misdirected requests.

    Parameters
    ----------
    name : str
        Id of this upstream.
    slots : int
    cold_seconds, warm_seconds : float
        Service time of a request whose object isn't cached, and of one whose object is.
    """

    def __init__(
        self,
        name: str,
        slots: int = 5,
        cold_seconds: float = 0.02,
        warm_seconds: float = 0.006,
    ) -> None:
        self.name = name
        self.slots = slots
        self.executions: list[Execution] = []
        self.refused: list[str] = []
        self.status = 200
        self.shed = False
        self.shed_seconds = 0.0
        self.silent = False
        self.fault = ""
        # Added to the body of each response.
        self.padding = b""
        # Bytes that precede each response.
        self.stray_bytes = b""
        self.cold_seconds = cold_seconds
        self.warm_seconds = warm_seconds
        self._limiter = trio.CapacityLimiter(slots)
        self._cached_objects: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    async def handle(self, request: http_server.Request) -> http_server.Response:
        """Handle one request."""
        headers = dict(request.headers)
        request_id = headers.get(_REQUEST_ID, "")
        if headers.get("rattanlug-expect-instance", self.name) != self.name:
            self.refused.append(request_id)
            return http_server.Response(
                421,
                (
                    ("Rattanlug-Backend-Id", self.name),
                    ("Rattanlug-Request-Id", request_id),
                ),
            )
        if self.shed:
            await trio.sleep(self.shed_seconds)
            self.refused.append(request_id)
            return http_server.Response(
                503,
                (("Rattanlug-Not-Executed", "1"), ("Rattanlug-Request-Id", request_id)),
            )
        organisation = headers.get("rattanlug-tenant")
        execution = Execution(
            request_id,
            request.method,
            request.path,
            organisation,
            request.body,
            headers,
            trio.current_time(),
            self.name,
        )
        self.executions.append(execution)
        async with self._limiter:
            await trio.sleep(self._service_time(headers.get("cookie", "")))
        if self.silent:
            await trio.sleep_forever()
        statistics = self._limiter.statistics()
        load = f"{statistics.borrowed_tokens},{statistics.tasks_waiting},{self.slots}"
        response_headers = (
            ("Rattanlug-Request-Id", request_id),
            ("Rattanlug-Server-Stamp", f"stamp-{self.name}-{request_id}"),
            ("Rattanlug-Backend-Load", load),
            ("Content-Type", "application/octet-stream"),
        )
        body = f"{self.name} {request_id}".encode() + self.padding
        return http_server.Response(
            self.status, response_headers, body, self.fault, self.stray_bytes
        )

    def _service_time(self, cookie: str) -> float:
        is_cached = cookie in self._cached_objects
        self._cached_objects[cookie] = None
        self._cached_objects.move_to_end(cookie)
        return self.warm_seconds if is_cached else self.cold_seconds


def registration(
    upstream: Upstream,
    address: str,
    service: str,
    data_centre: str,
    sequence: int = 1,
    state: str = "ready",
    version: str = "v1",
    born: int = 1,
    cold_seconds: float = 0.0,
) -> dict:
    """Return the registration row of an upstream."""
    return {
        "address": address,
        "born": born,
        "info": {
            "service": service,
            "version": version,
            "zone": data_centre,
            "capacity": upstream.slots,
        },
        "status": {
            "state": state,
            "sequence": sequence,
            "warmup_left_s": cold_seconds,
        },
    }
