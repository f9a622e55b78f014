"""Sends requests to upstreams and updates their statistics from the outcomes."""

import httpcore

from rattanlug.caller import reply
from rattanlug.daemon import clock
from rattanlug.desired import route
from rattanlug.discovery import upstream_record
from rattanlug.errors import error, executed, failure, kind
from rattanlug.gateway import (
    admitted_request,
    broken_off,
    process_phase,
    rejections,
)
from rattanlug.gateway import node as node_module
from rattanlug.placement import placement, service_times
from rattanlug.platform import request_headers, response_headers
from rattanlug.upstream import connection_pools, response

# Headers of a request and its response together.
HEAD_KILOBYTES = 0.7
# Assumed size of a response body on a route without responses so far.
INITIAL_RESPONSE_KILOBYTES = 1.0
_BYTES_PER_KILOBYTE = 1000.0
# Weight of the latest response in the moving average of sizes.
_SIZE_SMOOTHING = 0.1
# Connecting fails after a few round trips and a margin, since a lost packet is
# retransmitted after 0.2 s at the earliest.
CONNECT_ROUND_TRIPS = 3.0
CONNECT_MARGIN_SECONDS = 0.25
# A response counts as slow above this multiple of an uncached object's service time.
SLOW_RATIO = 2.2
_MIN_FAILURE_STATUS = 500


class Sender:
    """Sends single requests to the upstreams chosen for them.

    Parameters
    ----------
    node : node.Node
    """

    def __init__(self, node: node_module.Node) -> None:
        self._node = node
        self._response_kilobytes: dict[str, float] = {}

    def route_times(self, found: route.Route) -> service_times.ServiceTimes:
        """Return the service time estimates of a route."""
        return self._node.placer.times(found.name, found.target_latency, found.affinity)

    async def send(
        self,
        admitted: admitted_request.AdmittedRequest,
        chosen: placement.Placement,
    ) -> reply.Reply:
        """Send a request to the chosen upstream and return its response.

        Raises
        ------
        error.UpstreamError
            The upstream failed.
        error.NotSentError
            Nothing was sent, but another upstream may serve the request.
        error.RefusedError
            Nothing was sent, for a reason other than a failure of the upstream.
        """
        node, record = self._node, chosen.record
        load = node.placer.load(record, clock.now())
        started_at = clock.now()
        token = node.placer.begin(
            record,
            admitted.object_id,
            started_at,
            self.route_times(admitted.route).cold,
        )
        busy = chosen.busy
        try:
            exchange = await self._exchange(admitted, record, started_at)
        except error.NotSentError:
            raise
        except error.UpstreamError as exc:
            now = clock.now()
            self._record_failure(admitted, record, failure.of(exc), now)
            raise
        except error.RefusedError as exc:
            if exc.response.executed is not executed.Executed.NO:
                # The caller stopped inside its body, which is no failure of the
                # upstream.
                self._log_failure(admitted, record, failure.of(exc), clock.now())
            raise
        finally:
            load.end(token)
        now = clock.now()
        if exchange.connect_seconds is not None:
            node.counters.add("upstream_connections")
            node.placer.round_trips.record(record.data_centre, exchange.connect_seconds)
        upstream_response = exchange.answer
        headers = response_headers.decode(
            upstream_response.status,
            upstream_response.headers,
            admitted.headers.request_id.encode("latin-1"),
        )
        load.note_answer(now)
        if headers.idle_seconds is not None:
            node.pools.set_idle_seconds(record.host, record.port, headers.idle_seconds)
        if headers.busy is not None:
            load.note_report(headers.busy, now)
        if headers.not_executed:
            load.note_outcome(not headers.misdirected, now)
            if headers.misdirected:
                load.note_unreachable(now)
            node.counters.add(
                "sends_not_executed", status=str(upstream_response.status)
            )
            raise error.UpstreamError(
                kind.ErrorKind.UPSTREAM_FAILED
                if headers.misdirected
                else kind.ErrorKind.NO_CAPACITY,
                "the upstream did not execute the request",
                executed.Executed.NO,
            )
        if headers.ambiguous or (
            headers.has_not_executed_status and not admitted.route.idempotent
        ):
            failed = failure.Failure(
                error.UpstreamError,
                kind.ErrorKind.ANSWER_BROKEN,
                "the upstream does not state whether it executed the request",
                executed.Executed.UNKNOWN,
            )
            self._record_failure(admitted, record, failed, now)
            raise failed.to_error()
        self._record_response(
            admitted, chosen, upstream_response, now - started_at, busy, now
        )
        return self._reply(admitted, chosen, upstream_response, now)

    async def _exchange(
        self,
        admitted: admitted_request.AdmittedRequest,
        record: upstream_record.UpstreamRecord,
        begun_at: float,
    ) -> connection_pools.Exchange:
        node = self._node
        round_trip_seconds = node.placer.round_trips.estimate(record.data_centre)
        connect_seconds = (
            CONNECT_ROUND_TRIPS * round_trip_seconds + CONNECT_MARGIN_SECONDS
        )

        def build() -> httpcore.Request:
            self._check_sendable(admitted, clock.now())
            return self._build_request(admitted, record)

        def before_send() -> None:
            now = clock.now()
            self._check_sendable(admitted, now)
            if not node.placer.may_send(record, begun_at, now):
                node.counters.add("sends_held_back")
                raise error.NotSentError(
                    kind.ErrorKind.UPSTREAM_FAILED,
                    "the upstream has become cold, or its limit is used up",
                    executed.Executed.NO,
                )
            node.histograms.record("request_unsent", now - admitted.admitted_at)

        def latest_end() -> float:
            if node.phase(clock.now()) is process_phase.ProcessPhase.SERVING:
                return admitted.latest_end
            return admitted.time_up_at

        try:
            return await node.pools.send(
                record.host,
                record.port,
                build,
                admitted.headers.request_id.encode("latin-1"),
                connect_seconds,
                latest_end(),
                before_send,
                latest_end,
            )
        except error.UpstreamError as exc:
            if exc.response.executed is executed.Executed.NO:
                # Not the upstream's failure if the caller disconnected or the deadline
                # passed.
                self._check_sendable(admitted, clock.now())
            raise

    def _check_sendable(
        self, admitted: admitted_request.AdmittedRequest, now: float
    ) -> None:
        """Reject a request whose caller has disconnected or whose deadline has passed.

        Raises
        ------
        error.RefusedError
        """
        if admitted.incoming.has_disconnected():
            raise error.RefusedError(
                kind.ErrorKind.CALLER_LEFT,
                "the caller closed its connection before the request was sent",
            )
        if now >= admitted.deadline:
            raise error.RefusedError(
                kind.ErrorKind.NO_CAPACITY,
                "the deadline of the request passed before it was sent",
                retry_after=rejections.retry_after_seconds(self._node.rng),
            )

    def _build_request(
        self,
        admitted: admitted_request.AdmittedRequest,
        record: upstream_record.UpstreamRecord,
    ) -> httpcore.Request:
        """Build the request to the upstream, with the time that is left now."""
        incoming = admitted.incoming
        time_left = admitted.deadline - clock.now()
        rest = incoming.rest
        has_body = bool(incoming.body) or any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in incoming.headers
        )
        state = self._node.desired.state
        headers = request_headers.for_upstream(
            request_headers.forwarded(
                incoming.headers,
                admitted.owner.name if admitted.owner else None,
                bool(state and state.organisations),
                incoming.body_length if has_body else None,
            ),
            record.id,
            time_left,
        )
        content = incoming.body if has_body else None
        if rest is not None:
            if rest.length is None:
                headers.append((b"transfer-encoding", b"chunked"))
            content = rest.content(
                incoming.body, lambda: admitted.deadline - clock.now()
            )
        return httpcore.Request(
            incoming.method,
            httpcore.URL(
                scheme=b"http",
                host=record.host.encode(),
                port=record.port,
                target=incoming.target,
            ),
            headers=headers,
            content=content,
        )

    def _record_failure(
        self,
        admitted: admitted_request.AdmittedRequest,
        record: upstream_record.UpstreamRecord,
        failed: failure.Failure,
        now: float,
    ) -> None:
        node = self._node
        load = node.placer.load(record, now)
        if failed.kind is kind.ErrorKind.UPSTREAM_FAILED:
            load.note_unreachable(now)
        elif failed.kind is not kind.ErrorKind.MEMORY_USED_UP:
            load.note_outcome(True, now)
            self._count_outcome(admitted, record, True, now)
        if failed.kind is kind.ErrorKind.DEADLINE_EXCEEDED:
            load.note_slowdown(
                (now - admitted.arrived_at) / self.route_times(admitted.route).cold, now
            )
        self._log_failure(admitted, record, failed, now)

    def _log_failure(
        self,
        admitted: admitted_request.AdmittedRequest,
        record: upstream_record.UpstreamRecord,
        failed: failure.Failure,
        now: float,
    ) -> None:
        """Count and log a send after which the request may have run."""
        node = self._node
        node.counters.add("sends_failed", kind=failed.kind.value)
        node.log.write(
            "send failed",
            now,
            id=admitted.headers.request_id,
            upstream=record.id,
            data_centre=record.data_centre,
            kind=failed.kind.value,
            ran=failed.executed.value,
            failures=round(node.placer.load(record, now).failure_share(now), 2),
            **broken_off.fields(node, admitted, now),
        )

    def _record_response(
        self,
        admitted: admitted_request.AdmittedRequest,
        chosen: placement.Placement,
        upstream_response: response.Response,
        seconds: float,
        busy: float,
        now: float,
    ) -> None:
        node, record = self._node, chosen.record
        load = node.placer.load(record, now)
        times = self.route_times(admitted.route)
        service_seconds = seconds - node.placer.round_trips.estimate(record.data_centre)
        failed = upstream_response.status >= _MIN_FAILURE_STATUS
        load.note_outcome(failed, now)
        if not failed and busy < record.slots:
            is_warm = times.is_warm(service_seconds / load.slowdown(now))
            expected = times.warm if is_warm else times.cold
            load.note_slowdown(service_seconds / expected, now)
            node.placer.record_warm_hit(admitted.service, chosen, is_warm)
            if load.slowdown(now) < SLOW_RATIO:
                times.learn(service_seconds)
        warming_up = node.registry.cold_seconds(record.id, now) > 0.0
        is_slow = not warming_up and service_seconds > SLOW_RATIO * times.cold
        self._count_outcome(admitted, record, failed or is_slow, now)

    def _count_outcome(
        self,
        admitted: admitted_request.AdmittedRequest,
        record: upstream_record.UpstreamRecord,
        bad: bool,
        now: float,
    ) -> None:
        """Count an outcome by version while the service has a rollout order."""
        node = self._node
        if admitted.service not in node.versions.orders:
            return
        is_canary = node.versions.is_canary(admitted.service, record.version)
        node.outcomes.add(admitted.service, admitted.route.name, is_canary, bad, now)

    def _reply(
        self,
        admitted: admitted_request.AdmittedRequest,
        chosen: placement.Placement,
        upstream_response: response.Response,
        now: float,
    ) -> reply.Reply:
        node = self._node
        seconds = now - admitted.arrived_at
        node.counters.add(
            "requests_answered",
            route=admitted.route.name,
            status=str(upstream_response.status),
        )
        node.histograms.record("request", seconds, route=admitted.route.name)
        average = self._response_kilobytes.get(
            admitted.route.name, INITIAL_RESPONSE_KILOBYTES
        )
        size = len(upstream_response.body) / _BYTES_PER_KILOBYTE
        self._response_kilobytes[admitted.route.name] = average + _SIZE_SMOOTHING * (
            size - average
        )
        node.log.write(
            "answered"
            if upstream_response.status < _MIN_FAILURE_STATUS
            else "upstream error",
            now,
            id=admitted.headers.request_id,
            organisation=admitted.owner.name if admitted.owner else None,
            route=admitted.route.name,
            state=node.desired.version,
            upstream=chosen.record.id,
            data_centre=chosen.record.data_centre,
            status=upstream_response.status,
            seconds=round(seconds, 3),
            unread=round(admitted.admitted_at - admitted.arrived_at, 3),
            expected=round(chosen.seconds, 3),
            busy=round(chosen.busy, 1),
            warm=round(chosen.warm, 2),
            ground=chosen.ground.value,
            object=admitted.object_id,
        )
        headers = response_headers.forwarded(
            upstream_response.headers, len(upstream_response.body)
        )
        return reply.Reply(upstream_response.status, headers, upstream_response.body)

    def expected_kilobytes(self, admitted: admitted_request.AdmittedRequest) -> float:
        """Return the expected size of a request and its response, kilobytes."""
        response_size = self._response_kilobytes.get(
            admitted.route.name, INITIAL_RESPONSE_KILOBYTES
        )
        request_size = (admitted.incoming.body_length or 0) / _BYTES_PER_KILOBYTE
        return HEAD_KILOBYTES + request_size + response_size
