"""The path of a request from caller to upstream and back."""

import uuid
from collections.abc import Callable
from typing import NamedTuple, Protocol

from rattanlug.caller import forwarded_headers, reply, request
from rattanlug.daemon import active_configuration, operation_runner, slot_access
from rattanlug.errors import error, kind, ran
from rattanlug.idempotency import (
    digest,
    identity,
    operation,
    outcome,
    record,
    recorded_answer,
    refuse,
    send_result,
    state,
)
from rattanlug.invariants import violations
from rattanlug.keys import scrub
from rattanlug.metrics import counters, histograms
from rattanlug.model import key as model_key
from rattanlug.model import route as model_route
from rattanlug.routing import link_budget, retry_budget, slot_hold
from rattanlug.upstream import client as upstream_client
from rattanlug.upstream import response

_MILLISECONDS_PER_SECOND = 1000
_MIN_SEND_SECONDS = 0.005
_MAX_ATTEMPTS = 2
_OPEN_WEIGHT = 1.0
_FAILED_STATUS = 500


class Admission(Protocol):
    """Decides whether an organisation may send a request now."""

    async def admit(self, organisation: str, deadline: float) -> None:
        """Return, or raise ``error.RefusedError`` of kind ``rate_limited``."""


class VersionChoice(Protocol):
    """Picks the version of a service and hears how requests ended."""

    def choose(self, route: model_route.Route) -> str:
        """Return the version for one request."""

    def finished(
        self,
        route: model_route.Route,
        version: str,
        failed: bool,
        latency: float,
        cold: bool,
    ) -> None:
        """Take the outcome of one attempt."""


class Freshness(Protocol):
    """Tells whether keys are known well enough."""

    def keyed_routes_allowed(self, now: float) -> bool:
        """Tell whether keyed routes may be served."""


class _Admitted(NamedTuple):
    request: request.Request
    route: model_route.Route
    organisation: str
    deadline: float
    identifier: str


class Proxy:
    """Serves requests on configured routes.

    Parameters
    ----------
    vm : str
    incarnation : int
    active : active_configuration.ActiveConfiguration
    freshness : Freshness
    admission : Admission
    versions : VersionChoice
    slots : slot_access.SlotAccess
    borrow : callable
        Asks other VMs for a slot.
    links : link_budget.LinkBudget
    operations : operation_runner.OperationRunner
    upstreams : upstream_client.UpstreamClient
    all_violations : violations.Violations
    all_counters : counters.Counters
    all_histograms : histograms.Histograms
    on_finished : callable
        ``on_finished(organisation, route, status, latency)`` for objectives.
    clock, wall_clock : callable
        Return the present time in seconds.
    """

    def __init__(
        self,
        *,
        vm: str,
        incarnation: int,
        active: active_configuration.ActiveConfiguration,
        freshness: Freshness,
        admission: Admission,
        versions: VersionChoice,
        slots: slot_access.SlotAccess,
        borrow: slot_access.Borrow,
        links: link_budget.LinkBudget,
        operations: operation_runner.OperationRunner,
        upstreams: upstream_client.UpstreamClient,
        all_violations: violations.Violations,
        all_counters: counters.Counters,
        all_histograms: histograms.Histograms,
        on_finished: Callable[[str, str, int, float], None],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._active = active
        self._freshness = freshness
        self._admission = admission
        self._versions = versions
        self._slots = slots
        self._borrow = borrow
        self._links = links
        self._operations = operations
        self._upstreams = upstreams
        self._violations = all_violations
        self._counters = all_counters
        self._histograms = all_histograms
        self._on_finished = on_finished
        self._clock = clock
        self._wall_clock = wall_clock
        self._retries = retry_budget.RetryBudget()

    async def serve(self, incoming: request.Request) -> reply.Reply:
        """Serve one request.

        Parameters
        ----------
        incoming : request.Request

        Returns
        -------
        reply.Reply

        Raises
        ------
        error.RattanlugError
            The request was refused or failed.
        """
        start = self._clock()
        route = self._active.routes.match(incoming.method, incoming.path)
        organisation = self._authenticate(incoming, route, start)
        status = 0
        try:
            answer = await self._admit_and_serve(incoming, route, organisation, start)
            status = answer.status
            return answer
        except error.RattanlugError as exc:
            status = exc.answer.status
            raise
        finally:
            latency = self._clock() - start
            self._histograms.record("request", latency, route=route.name)
            if status:
                self._counters.add(
                    "requests",
                    route=route.name,
                    organisation=organisation,
                    status=str(status),
                )
                self._on_finished(organisation, route.name, status, latency)

    def _authenticate(
        self, incoming: request.Request, route: model_route.Route, now: float
    ) -> str:
        if route.access is model_route.Access.OPEN:
            return ""
        if not self._freshness.keyed_routes_allowed(now):
            raise error.RefusedError(
                kind.ErrorKind.KEYS_STALE,
                "this VM cannot learn of withdrawn keys at the moment",
            )
        key = scrub.read_key(incoming.headers)
        found: model_key.Key = self._active.keys.authenticate(key)
        scrub.check_no_key(
            key, incoming.raw_path, incoming.query, incoming.body, incoming.headers
        )
        return found.organisation

    async def _admit_and_serve(
        self,
        incoming: request.Request,
        route: model_route.Route,
        organisation: str,
        start: float,
    ) -> reply.Reply:
        service = self._active.configuration.services[route.service]
        deadline = start + min(service.deadline, _caller_timeout(incoming))
        identifier = forwarded_headers.request_id(incoming.headers)
        admitted = _Admitted(incoming, route, organisation, deadline, identifier)
        if route.semantics is model_route.Semantics.ONCE:
            named = identity.parse_identity(
                incoming.header(b"idempotency-key"), self._wall_clock()
            )
        if organisation:
            await self._admission.admit(organisation, deadline)
        if route.semantics is model_route.Semantics.ONCE:
            return await self._serve_once(admitted, named)
        return await self._serve_idempotent(admitted)

    async def _serve_idempotent(self, admitted: _Admitted) -> reply.Reply:
        self._retries.count_request(self._clock())
        tried: set[str] = set()
        while True:
            try:
                answer = await self._attempt(admitted, tried)
                if not reply.states_not_run(answer.headers):
                    return self._to_caller(admitted, answer)
                failure = error.UpstreamError(
                    kind.ErrorKind.UPSTREAM_FAILED,
                    "the upstream refused the request",
                    ran.Ran.NO,
                )
            except error.UpstreamError as exc:
                failure = exc
            if len(tried) >= _MAX_ATTEMPTS or not self._may_retry(admitted):
                raise failure
            self._counters.add("retries", route=admitted.route.name)

    def _may_retry(self, admitted: _Admitted) -> bool:
        now = self._clock()
        return now + _MIN_SEND_SECONDS < admitted.deadline and self._retries.try_retry(
            now
        )

    async def _serve_once(
        self, admitted: _Admitted, named: identity.Identity
    ) -> reply.Reply:
        incoming = admitted.request
        organisation = admitted.organisation or "-"
        key = record.record_key(organisation, named.text)
        claim = record.OperationRecord(
            state.State.INTENT,
            digest.request_digest(
                incoming.method,
                incoming.raw_path.decode("latin-1"),
                incoming.query,
                incoming.body,
            ),
            self._vm,
            self._incarnation,
            uuid.uuid4().hex,
            created_at=named.created_at,
        )
        steps = operation.Operation(
            key,
            claim,
            admitted.deadline,
            self._violations,
            self._operations.remembered(key),
        )

        async def send() -> send_result.SendResult:
            return await self._send_once(admitted)

        step = await self._operations.perform(key, steps, send, admitted.deadline)
        if isinstance(step, refuse.Refuse):
            raise error.RattanlugError(
                step.error_kind, _ONCE_DETAILS[step.ran], step.ran
            )
        recorded = step.answer
        if recorded is None:
            raise error.UpstreamError(
                kind.ErrorKind.ANSWER_TOO_LARGE,
                "the operation ran; its answer was too large to be kept",
                ran.Ran.YES,
            )
        if step.replayed:
            self._counters.add("operations_replayed")
        answer = response.Response(
            recorded.status, list(recorded.headers), recorded.body
        )
        return self._to_caller(admitted, answer)

    async def _send_once(self, admitted: _Admitted) -> send_result.SendResult:
        self._retries.count_request(self._clock())
        tried: set[str] = set()
        while True:
            try:
                answer = await self._attempt(admitted, tried)
                if not reply.states_not_run(answer.headers):
                    return _answered(answer)
                failed_kind = kind.ErrorKind.UPSTREAM_FAILED
            except error.RefusedError as exc:
                return send_result.SendResult(outcome.Outcome.NOT_RUN, None, exc.kind)
            except error.UpstreamError as exc:
                if exc.answer.ran is not ran.Ran.NO:
                    return send_result.SendResult(
                        outcome.Outcome.UNKNOWN, None, exc.kind
                    )
                failed_kind = exc.kind
            # The attempt certainly did not run, so that another one is safe.
            if len(tried) >= _MAX_ATTEMPTS or not self._may_retry(admitted):
                return send_result.SendResult(
                    outcome.Outcome.NOT_RUN, None, failed_kind
                )

    async def _attempt(self, admitted: _Admitted, tried: set[str]) -> response.Response:
        """Send the request to an upstream that is not in ``tried``, and add it."""
        route = admitted.route
        version = self._versions.choose(route)
        near = self._active.tiers(route.service, version).data_centre
        owner = self._active.configuration.organisations.get(admitted.organisation)
        hold = await self._slots.acquire(
            route.service,
            version,
            near,
            admitted.organisation,
            owner.rate if owner else _OPEN_WEIGHT,
            admitted.deadline,
            self._borrow,
            frozenset(tried),
        )
        tried.add(hold.upstream)
        try:
            return await self._send(admitted, hold, version)
        finally:
            self._slots.serve_waiting(route.service, version, near)

    async def _send(
        self, admitted: _Admitted, hold: slot_hold.SlotHold, version: str
    ) -> response.Response:
        target = self._active.configuration.upstreams.get(hold.upstream)
        start = self._clock()
        remaining = min(admitted.deadline, hold.expires) - start
        if target is None or remaining < _MIN_SEND_SECONDS:
            self._slots.release(hold, answered=True)
            raise error.RefusedError(
                kind.ErrorKind.DEADLINE_EXCEEDED,
                "no time was left to send the request",
                ran.Ran.NO,
            )
        incoming = admitted.request
        headers = forwarded_headers.to_upstream(
            incoming.headers,
            f"{target.host}:{target.port}",
            incoming.body,
            admitted.identifier,
            remaining,
            admitted.organisation,
        )
        upstream = self._slots.state(hold.upstream)
        started = upstream.start(start)
        region = self._active.configuration.data_centres[target.data_centre].region
        charged, received = 0.0, 0
        if region != self._active.region:
            charged = self._links.start(region, len(incoming.body), start)
        failed, whole, abandoned = True, False, True
        try:
            answer = await self._upstreams.send(
                target.host,
                target.port,
                incoming.method,
                incoming.target,
                headers,
                incoming.body,
                remaining,
            )
            whole, abandoned = True, False
            failed = answer.status >= _FAILED_STATUS
            received = len(answer.body)
            return answer
        except error.UpstreamError as exc:
            abandoned = False
            whole = exc.answer.ran is ran.Ran.NO
            raise
        finally:
            now = self._clock()
            upstream.finish(started, now, failed=failed, abandoned=abandoned)
            self._slots.release(hold, answered=whole)
            if region != self._active.region:
                self._links.finish(region, charged, received, now)
            if not abandoned:
                latency = now - start
                cold = upstream.cold(start)
                self._versions.finished(admitted.route, version, failed, latency, cold)
                self._histograms.record("upstream", latency, version=version)

    def _to_caller(self, admitted: _Admitted, answer: response.Response) -> reply.Reply:
        headers = forwarded_headers.to_caller(
            answer.headers, answer.body, admitted.identifier
        )
        return reply.Reply(answer.status, headers, answer.body)


_ONCE_DETAILS = {
    ran.Ran.NO: "the operation did not run; it may be sent again",
    ran.Ran.UNKNOWN: (
        "it is not known whether the operation ran; repeat the request with the same "
        "Idempotency-Key to ask again, it will not be run a second time"
    ),
    ran.Ran.YES: "the operation ran",
}


def _answered(answer: response.Response) -> send_result.SendResult:
    recorded = recorded_answer.RecordedAnswer(
        answer.status, tuple(answer.headers), answer.body
    )
    return send_result.SendResult(outcome.Outcome.ANSWERED, recorded)


def _caller_timeout(incoming: request.Request) -> float:
    text = incoming.header(forwarded_headers.REQUEST_TIMEOUT)
    if text is None:
        return float("inf")
    if not text.isdecimal() or not int(text):
        raise error.RefusedError(
            kind.ErrorKind.REQUEST_MALFORMED,
            "Request-Timeout; accepted: a whole number of milliseconds above 0",
        )
    return int(text) / _MILLISECONDS_PER_SECOND
