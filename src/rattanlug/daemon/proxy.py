"""Forwards requests of callers to upstreams and returns the responses."""

import uuid
from collections.abc import Callable
from typing import NamedTuple, Protocol

import trio

from rattanlug.caller import forwarded_headers, reply, request
from rattanlug.daemon import active_configuration, operation_runner, slot_access
from rattanlug.errors import error, executed, failure, kind
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
from rattanlug.idempotency import reply as operation_reply
from rattanlug.invariants import invariant, violations
from rattanlug.keys import scrub
from rattanlug.metrics import counters, histograms
from rattanlug.model import key as model_key
from rattanlug.model import route as model_route
from rattanlug.model import upstream as model_upstream
from rattanlug.routing import link_budget, retry_budget, slot_hold, upstream_state
from rattanlug.upstream import client as upstream_client
from rattanlug.upstream import response

_MILLISECONDS_PER_SECOND = 1000
# With less time left until the deadline, a request is not sent.
_MIN_SEND_SECONDS = 0.005
_MAX_ATTEMPTS = 2
# Weight in the queue for slots; requests on open routes have no organisation.
_OPEN_ROUTE_WEIGHT = 1.0
_MIN_FAILED_STATUS = 500
_NOT_MODIFIED = 304
_MAX_TIMEOUT_DIGITS = 9
# Documented bound on the time between the first sign that an upstream is leaving and
# the last request sent to it. It is only checked: requests are already withheld from
# the first sign on.
_MAX_LEAVING_SECONDS = 3.0
_MAX_SLOTS_TRIED = 3
# Time for which an operation keeps its slot while its record is written; longer than a
# write to a healthy store in another region.
_SLOT_RESERVATION_SECONDS = 0.2


class Admission(Protocol):
    """Enforces the request rates of organisations."""

    async def admit(self, organisation: str, deadline: float) -> None:
        """Admit a request, or raise ``error.RefusedError`` of kind ``rate_limited``."""


class VersionChoice(Protocol):
    """Chooses the version of a service and records the outcomes of attempts."""

    def choose(self, route: model_route.Route) -> str:
        """Return the version for one request."""

    def record_outcome(
        self,
        route: model_route.Route,
        version: str,
        failed: bool,
        latency: float,
        cold: bool,
    ) -> None:
        """Record the outcome of one attempt."""


class Freshness(Protocol):
    """Tells whether keys are fresh enough."""

    def keyed_routes_allowed(self, now: float) -> bool:
        """Tell whether keyed routes may be served."""

    def key_freshness_holds(self, now: float) -> bool:
        """Tell whether the documented bound on the age of keys holds."""


class _Admitted(NamedTuple):
    """An authenticated request; ``deadline`` is on the proxy's clock, seconds."""

    request: request.Request
    route: model_route.Route
    organisation: str
    deadline: float
    request_id: str


class _Slot(NamedTuple):
    """A slot held for one attempt, and the version of the service at its upstream."""

    hold: slot_hold.SlotHold
    version: str


class _Target(NamedTuple):
    """The upstream of one attempt.

    ``region`` is empty in the own region; ``remaining`` is the time limit, seconds.
    """

    upstream: model_upstream.Upstream
    state: upstream_state.UpstreamState
    region: str
    remaining: float


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
        ``on_finished(organisation, route, status, latency)`` counts a response for the
        service-level objectives; latency in seconds.
    clock, wall_clock : callable
        Return seconds of a monotonic clock and seconds since the epoch.
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
        route = self._active.routes.match(
            incoming.method, incoming.path, incoming.raw_path
        )
        organisation = self._authenticate(incoming, route, start)
        status = 0
        try:
            answer = await self._admit_and_serve(incoming, route, organisation, start)
            status = answer.status
            return answer
        except error.RattanlugError as exc:
            status = exc.response.status
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
            _check_no_key_on_open_route(incoming)
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

    def _check_key_again(self, admitted: _Admitted, now: float) -> None:
        """Reject a request whose key was withdrawn or became stale while it waited."""
        if not admitted.organisation:
            return
        if not self._freshness.keyed_routes_allowed(now):
            raise error.RefusedError(
                kind.ErrorKind.KEYS_STALE,
                "this VM cannot learn of withdrawn keys at the moment",
            )
        key = scrub.read_key(admitted.request.headers)
        found = self._active.keys.authenticate(key)
        if found.organisation != admitted.organisation:
            raise error.RefusedError(
                kind.ErrorKind.ORGANISATION_MISMATCH,
                "the key has moved to another organisation",
            )
        self._violations.check(
            invariant.Invariant.KEY_FRESHNESS, self._freshness.key_freshness_holds(now)
        )

    async def _admit_and_serve(
        self,
        incoming: request.Request,
        route: model_route.Route,
        organisation: str,
        start: float,
    ) -> reply.Reply:
        service = self._active.configuration.services[route.service]
        deadline = start + min(service.deadline, _caller_timeout(incoming))
        request_id = forwarded_headers.request_id(incoming.headers)
        admitted = _Admitted(incoming, route, organisation, deadline, request_id)
        if route.semantics is model_route.Semantics.ONCE:
            operation_identity = identity.parse_identity(
                incoming.header(b"idempotency-key"), self._wall_clock()
            )
        if organisation:
            await self._admission.admit(organisation, deadline)
        if route.semantics is model_route.Semantics.ONCE:
            return await self._serve_once(admitted, operation_identity)
        return await self._serve_idempotent(admitted)

    async def _serve_idempotent(self, admitted: _Admitted) -> reply.Reply:
        self._retries.count_request(self._clock())
        tried: set[str] = set()
        # The first failure after which the upstream may have run the request; a later
        # attempt that did not run must not hide it.
        uncertain: failure.Failure | None = None
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            try:
                answer = await self._attempt(admitted, tried)
                if not reply.states_not_run(answer.status, answer.headers):
                    return self._to_caller(admitted, answer)
                failed = failure.Failure(
                    error.UpstreamError,
                    kind.ErrorKind.UPSTREAM_FAILED,
                    "the upstream refused the request",
                    executed.Executed.NO,
                )
            except error.RefusedError as exc:
                if uncertain is None:
                    raise
                raise uncertain.to_error() from exc
            except error.UpstreamError as exc:
                failed = failure.of(exc)
            if failed.executed is not executed.Executed.NO:
                uncertain = uncertain or failed
            if (
                failed.executed is executed.Executed.YES
                or attempt == _MAX_ATTEMPTS
                or not self._may_retry(admitted)
            ):
                break
            self._counters.add("retries", route=admitted.route.name)
        raise (uncertain or failed).to_error()

    def _may_retry(self, admitted: _Admitted) -> bool:
        now = self._clock()
        return now + _MIN_SEND_SECONDS < admitted.deadline and self._retries.try_retry(
            now
        )

    async def _serve_once(
        self, admitted: _Admitted, operation_identity: identity.Identity
    ) -> reply.Reply:
        incoming = admitted.request
        organisation = admitted.organisation or "-"
        key = record.record_key(organisation, operation_identity.text)
        intent = record.OperationRecord(
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
            created_at=operation_identity.created_at,
        )
        steps = operation.Operation(
            key,
            intent,
            admitted.deadline,
            self._violations,
            self._operations.cached_record(key),
        )

        reserved: list[_Slot] = []
        if self._operations.cached_record(key) is None:
            # The slot is acquired first: without one, the request is rejected, and two
            # writes of the record would be wasted.
            reserved.append(await self._take_slot(admitted, set()))

        async def send() -> send_result.SendResult:
            return await self._send_once(admitted, reserved)

        step = await self._wait_for_answer(
            self._operations.start(key, steps, send, admitted.deadline), reserved
        )
        if isinstance(step, refuse.Refuse):
            raise error.RattanlugError(
                step.error_kind, _ONCE_DETAILS[step.executed], step.executed
            )
        recorded = step.answer
        if recorded is None:
            raise error.UpstreamError(
                kind.ErrorKind.ANSWER_TOO_LARGE,
                "the operation ran; its response was too large to be stored",
                executed.Executed.YES,
            )
        if step.replayed:
            self._counters.add("operations_replayed")
        answer = response.Response(
            recorded.status, list(recorded.headers), recorded.body
        )
        return self._to_caller(admitted, answer)

    async def _wait_for_answer(
        self, answers: trio.MemoryReceiveChannel, reserved: list[_Slot]
    ) -> operation_reply.Reply | refuse.Refuse:
        try:
            # While the store is slow, the slot is released for requests of other
            # routes.
            with trio.move_on_after(_SLOT_RESERVATION_SECONDS):
                return await answers.receive()
        finally:
            while reserved:
                self._release_unused(reserved.pop())
        return await answers.receive()

    async def _send_once(
        self, admitted: _Admitted, reserved: list[_Slot]
    ) -> send_result.SendResult:
        self._retries.count_request(self._clock())
        tried: set[str] = set()
        failed_kind = kind.ErrorKind.UPSTREAM_FAILED
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            try:
                slot = reserved.pop() if reserved else None
                answer = await self._attempt(admitted, tried, slot)
                if not reply.states_not_run(answer.status, answer.headers):
                    return _answered(answer)
                failed_kind = kind.ErrorKind.UPSTREAM_FAILED
            except error.RefusedError as exc:
                return send_result.SendResult(outcome.Outcome.NOT_RUN, None, exc.kind)
            except error.UpstreamError as exc:
                if exc.response.executed is not executed.Executed.NO:
                    return send_result.SendResult(
                        outcome.Outcome.UNKNOWN, None, exc.kind
                    )
                failed_kind = exc.kind
            # The upstream did not run the request, so a retry is safe.
            if attempt == _MAX_ATTEMPTS or not self._may_retry(admitted):
                break
            self._counters.add("retries", route=admitted.route.name)
        return send_result.SendResult(outcome.Outcome.NOT_RUN, None, failed_kind)

    async def _take_slot(self, admitted: _Admitted, tried: set[str]) -> _Slot:
        """Acquire a slot of an upstream that accepts work and is not in ``tried``."""
        route = admitted.route
        for _ in range(_MAX_SLOTS_TRIED):
            if route.service not in self._active.configuration.services:
                raise error.RefusedError(
                    kind.ErrorKind.ROUTE_UNKNOWN,
                    f"service {route.service} is no longer configured",
                )
            version = self._versions.choose(route)
            owner = self._active.configuration.organisations.get(admitted.organisation)
            hold = await self._slots.acquire(
                route.service,
                version,
                self._active.tiers(route.service, version).data_centre,
                admitted.organisation,
                owner.rate if owner else _OPEN_ROUTE_WEIGHT,
                admitted.deadline,
                self._borrow,
                frozenset(tried),
            )
            slot = _Slot(hold, version)
            state = self._slots.state(hold.upstream)
            if state is not None and state.leaving_since is None:
                return slot
            # The lender does not know yet that the upstream is leaving.
            self._release_unused(slot)
        raise error.RefusedError(
            kind.ErrorKind.NO_CAPACITY, f"no upstream of {route.service} accepts work"
        )

    def _release_unused(self, slot: _Slot) -> None:
        """Release a slot that no request was sent with."""
        self._slots.release(slot.hold, answered=True)
        self._slots.assign_slots_of(slot.hold.upstream)

    async def _attempt(
        self, admitted: _Admitted, tried: set[str], slot: _Slot | None = None
    ) -> response.Response:
        """Send the request to an upstream outside ``tried``, and add it there."""
        if slot is not None:
            state = self._slots.state(slot.hold.upstream)
            if state is None or state.leaving_since is not None:
                self._release_unused(slot)
                slot = None
        if slot is None:
            slot = await self._take_slot(admitted, tried)
        tried.add(slot.hold.upstream)
        try:
            target = self._prepare(admitted, slot)
        except error.RefusedError:
            self._release_unused(slot)
            raise
        try:
            return await self._exchange(admitted, slot, target)
        finally:
            self._slots.assign_slots_of(slot.hold.upstream)

    def _prepare(self, admitted: _Admitted, slot: _Slot) -> _Target:
        """Check again what may have changed since the request was admitted."""
        now = self._clock()
        self._check_key_again(admitted, now)
        remaining = min(admitted.deadline, slot.hold.expires) - now
        if remaining < _MIN_SEND_SECONDS:
            raise error.RefusedError(
                kind.ErrorKind.DEADLINE_EXCEEDED,
                "no time remained to send the request",
                executed.Executed.NO,
            )
        current = self._active.configuration
        target = current.upstreams.get(slot.hold.upstream)
        state = self._slots.state(slot.hold.upstream)
        data_centre = current.data_centres.get(target.data_centre) if target else None
        if data_centre is None or state is None:
            raise error.RefusedError(
                kind.ErrorKind.NO_CAPACITY, "the upstream is no longer configured"
            )
        is_cross_region = data_centre.region != self._active.region
        if is_cross_region and not self._links.allows(data_centre.region, now):
            raise error.RefusedError(
                kind.ErrorKind.NO_CAPACITY,
                f"the link to region {data_centre.region} has no capacity left",
            )
        since = state.leaving_since
        self._violations.check(
            invariant.Invariant.LEAVING_UPSTREAM,
            since is None or now - since <= _MAX_LEAVING_SECONDS,
        )
        return _Target(
            target, state, data_centre.region if is_cross_region else "", remaining
        )

    async def _exchange(
        self, admitted: _Admitted, slot: _Slot, target: _Target
    ) -> response.Response:
        """Send the request, read the response and release the slot."""
        incoming = admitted.request
        start = self._clock()
        started = target.state.start(start)
        charged_bytes, received_bytes = 0.0, 0
        if target.region:
            charged_bytes = self._links.start(target.region, len(incoming.body), start)
        failed, upstream_done, abandoned = True, False, True
        try:
            answer = await self._upstreams.send(
                target.upstream.host,
                target.upstream.port,
                incoming.method,
                incoming.target,
                forwarded_headers.to_upstream(
                    incoming.headers,
                    f"{target.upstream.host}:{target.upstream.port}",
                    incoming.body,
                    admitted.request_id,
                    target.remaining,
                    admitted.organisation,
                ),
                incoming.body,
                target.remaining,
            )
            upstream_done, abandoned = True, False
            failed = answer.status >= _MIN_FAILED_STATUS
            received_bytes = len(answer.body)
            return answer
        except error.UpstreamError as exc:
            abandoned = False
            upstream_done = exc.response.executed is executed.Executed.NO
            raise
        finally:
            now = self._clock()
            target.state.finish(started, now, failed=failed, abandoned=abandoned)
            self._slots.release(slot.hold, answered=upstream_done)
            if target.region:
                self._links.finish(target.region, charged_bytes, received_bytes, now)
            if not abandoned:
                latency = now - start
                cold = target.state.cold
                self._versions.record_outcome(
                    admitted.route, slot.version, failed, latency, cold
                )
                self._histograms.record("upstream", latency, version=slot.version)

    def _to_caller(self, admitted: _Admitted, answer: response.Response) -> reply.Reply:
        length = answer.header(b"content-length")
        self._violations.check(
            invariant.Invariant.OWN_RESPONSE,
            length is None
            or admitted.route.method == "HEAD"
            or answer.status == _NOT_MODIFIED
            or length == str(len(answer.body)).encode(),
        )
        headers = forwarded_headers.to_caller(
            answer.headers, answer.body, admitted.request_id
        )
        return reply.Reply(answer.status, headers, answer.body)


_ONCE_DETAILS = {
    executed.Executed.NO: "the operation did not run; it may be retried",
    executed.Executed.UNKNOWN: (
        "it is not known whether the operation ran; retry the request with the same "
        "Idempotency-Key, it will not be run a second time"
    ),
    executed.Executed.YES: "the operation ran",
}


def _answered(answer: response.Response) -> send_result.SendResult:
    recorded = recorded_answer.RecordedAnswer(
        answer.status, tuple(answer.headers), answer.body
    )
    return send_result.SendResult(outcome.Outcome.ANSWERED, recorded)


def _check_no_key_on_open_route(incoming: request.Request) -> None:
    """Refuse a request that repeats its bearer token outside ``Authorization``."""
    try:
        key = scrub.read_key(incoming.headers)
    except error.RefusedError:
        return
    scrub.check_no_key(
        key, incoming.raw_path, incoming.query, incoming.body, incoming.headers
    )


def _caller_timeout(incoming: request.Request) -> float:
    text = incoming.header(forwarded_headers.REQUEST_TIMEOUT)
    if text is None:
        return float("inf")
    # Digits are bounded, since Python refuses to convert thousands of them.
    if not (text.isdecimal() and len(text) <= _MAX_TIMEOUT_DIGITS and int(text)):
        raise error.RefusedError(
            kind.ErrorKind.REQUEST_MALFORMED,
            "Request-Timeout must be a whole number of milliseconds above 0",
        )
    return int(text) / _MILLISECONDS_PER_SECOND
