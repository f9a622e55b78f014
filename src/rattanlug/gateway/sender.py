"""Sends a request to one upstream and learns from what comes back."""

import httpcore

from rattanlug.caller import reply
from rattanlug.daemon import clock
from rattanlug.desired import route
from rattanlug.discovery import upstream_record
from rattanlug.errors import error, executed, kind
from rattanlug.gateway import job as job_module
from rattanlug.gateway import node as node_module
from rattanlug.gateway import refusals
from rattanlug.placement import placement, service_times
from rattanlug.platform import request_headers, response_headers
from rattanlug.upstream import connection_pools, response

# Size of the heads of a request and its answer together.
HEAD_KILOBYTES = 0.7
# Size of an answer's body where none was seen yet.
FIRST_ANSWER_KILOBYTES = 1.0
_BYTES_PER_KILOBYTE = 1000.0
_SIZE_SMOOTHING = 0.1
# Opening a connection fails after some round trips, since a lost packet is sent
# again after 0.2 s at the earliest.
CONNECT_ROUND_TRIPS = 3.0
CONNECT_EXTRA_SECONDS = 0.25
# An answer that takes this many times the expected time of a cold object is slow.
SLOW_RATIO = 2.2
_FIRST_FAILURE_STATUS = 500


class Sender:
    """Carries out one send after the other.

    Parameters
    ----------
    node : node.Node
    """

    def __init__(self, node: node_module.Node) -> None:
        self._node = node
        self._answer_kilobytes: dict[str, float] = {}

    def times(self, found: route.Route) -> service_times.ServiceTimes:
        """Return the service times of a route."""
        return self._node.placer.times(found.name, found.target_latency, found.affinity)

    async def send(
        self,
        job: job_module.Job,
        chosen: placement.Placement,
    ) -> reply.Reply:
        """Send a request to the upstream that was chosen, and return its answer.

        Raises
        ------
        error.UpstreamError
            The upstream failed.
        error.RefusedError
            Nothing was sent, for a reason that is not the upstream's.
        """
        node, record = self._node, chosen.record
        load = node.placer.load(record, clock.now())
        began = clock.now()
        token = node.placer.begin(record, job.object_id, began)
        busy = chosen.busy
        try:
            exchange = await self._exchange(job, record)
        except error.UpstreamError as exc:
            now = clock.now()
            self._note_failure(job, record, exc, now)
            raise
        finally:
            load.end(token)
        now = clock.now()
        if exchange.connect_seconds is not None:
            node.counters.add("upstream_connections")
            node.placer.round_trips.record(record.data_centre, exchange.connect_seconds)
        answer = exchange.answer
        found = response_headers.decode(answer.status, answer.headers)
        load.note_answer(now)
        if found.idle_seconds is not None:
            node.pools.set_idle_seconds(record.host, record.port, found.idle_seconds)
        if found.busy is not None:
            load.note_report(found.busy, now)
        if found.not_executed:
            load.note_outcome(not found.misdirected, now)
            if found.misdirected:
                load.note_unreachable(now)
            node.counters.add("sends_not_executed", status=str(answer.status))
            raise error.UpstreamError(
                kind.ErrorKind.UPSTREAM_FAILED
                if found.misdirected
                else kind.ErrorKind.NO_CAPACITY,
                "the upstream did not run the request",
                executed.Executed.NO,
            )
        self._note_answer(job, chosen, answer, now - began, busy, now)
        return self._reply(job, chosen, answer, now)

    async def _exchange(
        self, job: job_module.Job, record: upstream_record.UpstreamRecord
    ) -> connection_pools.Exchange:
        node = self._node
        distance = node.placer.round_trips.estimate(record.data_centre)
        connect_seconds = CONNECT_ROUND_TRIPS * distance + CONNECT_EXTRA_SECONDS

        def build() -> httpcore.Request:
            self._check_send(job, clock.now())
            return self._outgoing(job, record)

        def check_send() -> None:
            now = clock.now()
            self._check_send(job, now)
            node.histograms.record("request_unsent", now - job.admitted_at)

        try:
            return await node.pools.send(
                record.host,
                record.port,
                build,
                job.facts.request_id.encode("latin-1"),
                connect_seconds,
                job.deadline,
                check_send,
            )
        except error.UpstreamError as exc:
            if exc.response.executed is executed.Executed.NO:
                # Not the upstream's fault if the caller left or the time passed.
                self._check_send(job, clock.now())
            raise

    def _check_send(self, job: job_module.Job, now: float) -> None:
        """Refuse a request whose answer nobody would read.

        Raises
        ------
        error.RefusedError
        """
        if job.incoming.has_disconnected():
            raise error.RefusedError(
                kind.ErrorKind.CALLER_LEFT,
                "the caller closed its connection before the request was sent",
            )
        if now >= job.deadline:
            raise error.RefusedError(
                kind.ErrorKind.NO_CAPACITY,
                "the time of the request passed before it was sent",
                retry_after=refusals.retry_seconds(self._node.rng),
            )

    def _outgoing(
        self, job: job_module.Job, record: upstream_record.UpstreamRecord
    ) -> httpcore.Request:
        """Build the request as it is sent now."""
        incoming = job.incoming
        time_left = job.deadline - clock.now()
        has_body = bool(incoming.body) or any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in incoming.headers
        )
        state = self._node.desired.state
        headers = request_headers.for_upstream(
            request_headers.forwarded(
                incoming.headers,
                job.owner.name if job.owner else None,
                bool(state and state.organisations),
                len(incoming.body) if has_body else None,
            ),
            record.id,
            time_left,
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
            content=incoming.body if has_body else None,
        )

    def _note_failure(
        self,
        job: job_module.Job,
        record: upstream_record.UpstreamRecord,
        exc: error.UpstreamError,
        now: float,
    ) -> None:
        node = self._node
        load = node.placer.load(record, now)
        node.counters.add("sends_failed", kind=exc.kind.value)
        if exc.kind is kind.ErrorKind.UPSTREAM_FAILED:
            load.note_unreachable(now)
        else:
            load.note_outcome(True, now)
            self._count_outcome(job, record, True, now)
        if exc.kind is kind.ErrorKind.DEADLINE_EXCEEDED:
            load.note_slowdown((now - job.arrived_at) / self.times(job.route).cold, now)
        node.log.write(
            "send failed",
            now,
            id=job.facts.request_id,
            upstream=record.id,
            data_centre=record.data_centre,
            kind=exc.kind.value,
            ran=exc.response.executed.value,
            failures=round(load.failure_share(now), 2),
        )

    def _note_answer(
        self,
        job: job_module.Job,
        chosen: placement.Placement,
        answer: response.Response,
        seconds: float,
        busy: float,
        now: float,
    ) -> None:
        node, record = self._node, chosen.record
        load = node.placer.load(record, now)
        times = self.times(job.route)
        work = seconds - node.placer.round_trips.estimate(record.data_centre)
        failed = answer.status >= _FIRST_FAILURE_STATUS
        load.note_outcome(failed, now)
        if not failed and busy < record.slots:
            hit = times.is_warm(work / load.slowdown(now))
            expected = times.warm if hit else times.cold
            load.note_slowdown(work / expected, now)
            node.placer.record_warm_hit(job.service, chosen, hit)
            if load.slowdown(now) < SLOW_RATIO:
                times.learn(work)
        cold = node.registry.cold_seconds(record.id, now) > 0.0
        slow = not cold and work > SLOW_RATIO * times.cold
        self._count_outcome(job, record, failed or slow, now)

    def _count_outcome(
        self,
        job: job_module.Job,
        record: upstream_record.UpstreamRecord,
        bad: bool,
        now: float,
    ) -> None:
        node = self._node
        if job.service not in node.versions.orders:
            return
        is_new = node.versions.is_canary(job.service, record.version)
        node.outcomes.add(job.service, job.route.name, is_new, bad, now)

    def _reply(
        self,
        job: job_module.Job,
        chosen: placement.Placement,
        answer: response.Response,
        now: float,
    ) -> reply.Reply:
        node = self._node
        seconds = now - job.arrived_at
        node.counters.add(
            "requests_answered", route=job.route.name, status=str(answer.status)
        )
        node.histograms.record("request", seconds, route=job.route.name)
        known = self._answer_kilobytes.get(job.route.name, FIRST_ANSWER_KILOBYTES)
        size = len(answer.body) / _BYTES_PER_KILOBYTE
        self._answer_kilobytes[job.route.name] = known + _SIZE_SMOOTHING * (
            size - known
        )
        node.log.write(
            "answered" if answer.status < _FIRST_FAILURE_STATUS else "upstream error",
            now,
            id=job.facts.request_id,
            organisation=job.owner.name if job.owner else None,
            route=job.route.name,
            state=node.desired.version,
            upstream=chosen.record.id,
            data_centre=chosen.record.data_centre,
            status=answer.status,
            seconds=round(seconds, 3),
            unread=round(job.admitted_at - job.arrived_at, 3),
            expected=round(chosen.seconds, 3),
            busy=round(chosen.busy, 1),
            warm=round(chosen.warm, 2),
            ground=chosen.ground.value,
            object=job.object_id,
        )
        headers = response_headers.forwarded(answer.headers, len(answer.body))
        return reply.Reply(answer.status, headers, answer.body)

    def kilobytes(self, job: job_module.Job) -> float:
        """Return the expected size of a request and its answer."""
        answer = self._answer_kilobytes.get(job.route.name, FIRST_ANSWER_KILOBYTES)
        body = len(job.incoming.body) / _BYTES_PER_KILOBYTE
        return HEAD_KILOBYTES + body + answer
