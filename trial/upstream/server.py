"""The HTTP interface of the upstream stand-in."""

import hashlib
import json
import os
import pathlib
import random
import signal
from typing import NamedTuple

import trio

from trial import clock, http_server
from trial.upstream import behaviour, body, load_report, record

LOAD_REPORT_LAG_S = 0.5
# After a load report with ``draining``, entry VMs may send requests for this long.
DRAIN_GRACE_S = 3.0
LATE_S = 1.0

_NOT_EXECUTED = (("Rattanlug-Ran", "no"),)


class Identity(NamedTuple):
    """Fixed properties of an upstream.

    Attributes
    ----------
    name, service, version : str
    slots, connections : int
    """

    name: str
    service: str
    version: str
    slots: int
    connections: int


class UpstreamServer:
    """Executes requests within its slots, each for a random service time.

    Parameters
    ----------
    identity : Identity
    initial : behaviour.Behaviour
    seed : int
    """

    def __init__(self, identity: Identity, initial: behaviour.Behaviour, seed: int):
        self._identity = identity
        self._behaviour = initial
        self._random = random.Random(f"{seed} {identity.name}")
        self._record = record.Record(identity.slots)
        self._load = load_report.LoadReport(LOAD_REPORT_LAG_S)
        self._started = clock.now()
        self._first_execution_at: float | None = None
        self._drained_at: float | None = None
        self._record_load()

    async def answer(self, request: http_server.Request) -> http_server.Response:
        """Handle one request."""
        if request.path == "/.load":
            return self._report_load()
        if request.path == "/.crash":
            self._crash(json.loads(request.body)["record"])
        if request.path == "/.record":
            return http_server.json_response(self._record.report())
        if request.path == "/.control":
            return self._control(request)
        has_slot = self._record.record_arrival(request)
        self._record_load()
        outcome = "cancelled"
        try:
            if not has_slot:
                response = http_server.Response(503, _NOT_EXECUTED, b"no free slot")
                outcome = "refused"
            elif self._rejects_work():
                response = http_server.Response(503, _NOT_EXECUTED, b"draining")
                outcome = "refused"
            else:
                response = await self._run(request)
                outcome = str(response.status)
        finally:
            self._record.record_end(outcome)
            self._record_load()
        request_id = request.header("request-id")
        if request_id is not None:
            echo = ("Request-Id", request_id)
            response = response._replace(headers=(*response.headers, echo))
        return response

    async def _run(self, request: http_server.Request) -> http_server.Response:
        request_id = (
            request.header("trial-attempt") or request.header("request-id") or ""
        )
        identity = request.header("idempotency-key") or ""
        began = clock.now()
        if self._first_execution_at is None:
            self._first_execution_at = began
        organisation = request.header("rattanlug-organisation") or ""
        self._record.record_execution(
            record.Execution(began, request.path, request_id, identity, organisation)
        )
        duration, faulty = self._draw_duration(request.path)
        if faulty:
            self._record.record_fault(request_id)
        timeout = request.header("request-timeout")
        timeout_s = float(timeout) / 1000 if timeout else None
        answer_fault = self._next_answer_fault()
        if answer_fault == "late":
            await trio.sleep((timeout_s or 0.0) + LATE_S)
        elif timeout_s is not None and duration > timeout_s:
            await trio.sleep(timeout_s)
            return http_server.Response(504, (("Rattanlug-Ran", "unknown"),))
        else:
            await trio.sleep(duration)
        if faulty and self._behaviour.fault == "errors":
            return http_server.Response(500, (), b"fault")
        fields = {
            "request_id": request_id,
            "identity": identity,
            "method": request.method,
            "target": f"{request.path}?{request.query}",
            "body_digest": hashlib.sha256(request.body).hexdigest(),
            "upstream": self._identity.name,
            "version": self._identity.version,
        }
        content = body.build_body(fields, self._behaviour.body_bytes)
        fault = answer_fault if answer_fault in ("short", "duplicate", "stray") else ""
        return http_server.Response(200, (), content, fault)

    def _draw_duration(self, path: str) -> tuple[float, bool]:
        """Return a request's service time in seconds and whether it has the fault."""
        current = self._behaviour
        age_s = clock.now() - self._started
        duration = (
            current.service_ms / 1000 * self._random.lognormvariate(0, current.spread)
        )
        if age_s < current.cold_s:
            duration *= 1 + (current.cold_factor - 1) * (1 - age_s / current.cold_s)
        faulty = bool(
            current.fault
            and clock.now() - self._first_execution_at >= current.fault_after_s
            and self._record.in_flight >= current.fault_min_in_flight
            and path.startswith(current.fault_route)
            and self._random.random() < current.fault_ratio
        )
        if faulty and current.fault == "slow":
            duration *= current.slow_factor
        return duration, faulty

    def _next_answer_fault(self) -> str:
        current = self._behaviour
        if not current.answer or current.answer_count <= 0:
            return ""
        self._behaviour = current._replace(answer_count=current.answer_count - 1)
        return current.answer

    def _report_load(self) -> http_server.Response:
        values = self._load.read(clock.now())
        if self._behaviour.report == "stopped":
            return http_server.Response(0, fault="close")
        if self._behaviour.report == "idle":
            values = {**values, "in_flight": 0}
        elif self._behaviour.report == "full":
            values = {**values, "in_flight": self._identity.slots}
        return http_server.json_response(values)

    def _crash(self, path: str) -> None:
        """Write the record and kill the process, without an event in between."""
        pathlib.Path(path).write_text(json.dumps(self._record.report()))
        os.kill(os.getpid(), signal.SIGKILL)

    def _rejects_work(self) -> bool:
        return (
            self._drained_at is not None
            and clock.now() >= self._drained_at + DRAIN_GRACE_S
        )

    def _record_load(self) -> None:
        values = {
            "in_flight": self._record.in_flight,
            "slots": self._identity.slots,
            "state": self._behaviour.state,
            "version": self._identity.version,
        }
        self._load.record(values, clock.now())

    def _control(self, request: http_server.Request) -> http_server.Response:
        try:
            data = json.loads(request.body or b"{}")
            self._behaviour = behaviour.update(self._behaviour, data)
        except ValueError as exc:
            return http_server.json_response({"detail": str(exc)}, 400)
        if self._behaviour.state != "draining":
            self._drained_at = None
        elif self._drained_at is None:
            self._drained_at = clock.now()
        self._record_load()
        return http_server.json_response(self._behaviour._asdict())


async def run_server(
    host: str,
    port: int,
    identity: Identity,
    initial: behaviour.Behaviour,
    seed: int,
) -> None:
    """Serve until cancelled."""
    server = UpstreamServer(identity, initial, seed)
    counter = http_server.Connections(identity.connections)
    await http_server.serve(host, port, server.answer, connections=counter)
