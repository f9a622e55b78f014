"""The path of a caller's request to an upstream and back."""

import math
from typing import NamedTuple

import httpcore
import trio

from rattanlug.caller import reply, request, request_head
from rattanlug.daemon import clock
from rattanlug.desired import organisation, route, split
from rattanlug.discovery import upstream_record
from rattanlug.errors import error, kind, ran
from rattanlug.gateway import node as node_module
from rattanlug.placement import demand, placement
from rattanlug.platform import answer_facts, request_facts
from rattanlug.rate_limits import overload
from rattanlug.retries import decision
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
# Rounds of the event loop between the arrival of a request and its first decision.
QUEUED_ROUNDS = 2.0
# Time kept for the answer to travel back before the deadline.
ANSWER_MARGIN_SECONDS = 0.02
# An answer that takes this many times the expected time of a cold object is slow.
SLOW_RATIO = 2.2
_FIRST_FAILURE_STATUS = 500
# Earliest return after a refusal, and the random part that keeps those apart who were
# refused together, seconds.
RETRY_SECONDS = 0.3
RETRY_SPREAD_SECONDS = 0.4
# Added to the pause when a VM is overloaded, seconds.
OVERLOAD_RETRY_SECONDS = 0.5
# Pause until a VM that just started knows what it needs, seconds.
START_RETRY_SECONDS = 0.5


class _Job(NamedTuple):
    """One request of a caller with everything that was decided on its way in."""

    incoming: request.Request
    facts: request_facts.RequestFacts
    route: route.Route
    owner: organisation.Organisation | None
    service: str
    received_at: float
    deadline: float


class RequestPath:
    """Serves requests of callers.

    Parameters
    ----------
    node : node.Node
    """

    def __init__(self, node: node_module.Node) -> None:
        self._node = node
        self._answer_kilobytes: dict[str, float] = {}

    def is_once_only(self, incoming: request.Request) -> bool:
        """Tell whether a request is served to its end even if its caller leaves."""
        found = self._find_route(incoming)
        return found is not None and not found.idempotent

    async def serve(self, incoming: request.Request) -> reply.Reply:
        """Serve one request.

        Raises
        ------
        error.RattanlugError
        """
        now = clock.now()
        facts = request_facts.decode(incoming.headers)
        try:
            job = self._admit(incoming, facts, now)
        except error.RattanlugError as exc:
            self._log_refusal(facts, exc, now)
            raise
        try:
            return await self._send_until_answered(job)
        except error.RattanlugError as exc:
            self._node.counters.add(
                "requests_failed", kind=exc.kind.value, route=job.route.name
            )
            self._log_refusal(facts, exc, clock.now(), route=job.route.name)
            raise

    def refuse_early(self, head: request_head.RequestHead) -> bytes | None:
        """Return the answer to a request that is refused for its key or its rate.

        Answers the load of an organisation that sends many times its rate, and of
        callers that repeat at once: what can't be served costs as little as possible.
        """
        now = clock.now()
        state = self._node.desired.state
        if state is None or self._node.leaving or not state.organisations:
            return None
        facts = request_facts.decode(head.headers)
        path = head.target.partition(b"?")[0].decode("latin-1")
        found = self._node.desired.routes.find(facts.host, path)
        if found is None or found.public:
            return None
        owner = self._node.desired.keys.owner(facts.key)
        if (
            owner is not None
            and self._node.keys_usable(now)
            and not self._node.limiters.limiter(owner.name).refuses(now)
            and not self._sheds(found, owner, now)
        ):
            return None
        try:
            self._check_processor(found, self._authenticate(facts, now), now)
        except error.RefusedError as exc:
            self._node.counters.add("errors", kind=exc.kind.value)
            self._log_refusal(facts, exc, now, route=found.name)
            return reply.to_bytes(reply.from_error(exc))
        return None

    def _find_route(self, incoming: request.Request) -> route.Route | None:
        host = incoming.header(b"host") or ""
        path = incoming.raw_path.decode("latin-1")
        return self._node.desired.routes.find(host, path)

    def _admit(
        self, incoming: request.Request, facts: request_facts.RequestFacts, now: float
    ) -> _Job:
        node = self._node
        state = node.desired.state
        if state is None or not node.knows_upstreams:
            raise _refusal(
                kind.ErrorKind.STARTING,
                "this VM does not know its routes and upstreams yet",
                START_RETRY_SECONDS,
            )
        found = self._find_route(incoming)
        if found is None:
            raise _refusal(kind.ErrorKind.ROUTE_UNKNOWN, "no route has this path")
        owner = None
        if state.organisations and not found.public:
            owner = self._authenticate(facts, now)
        self._check_processor(found, owner, now)
        service = split.pick_service(found, node.rng)
        node.budget(service).count_request(now)
        wait = found.timeout
        if facts.time_left is not None:
            wait = min(wait, facts.time_left - ANSWER_MARGIN_SECONDS)
        # The request has waited in the queues of a busy process before it came here.
        received_at = now - QUEUED_ROUNDS * node.lag.seconds(now)
        return _Job(
            incoming, facts, found, owner, service, received_at, received_at + wait
        )

    def _sheds(
        self, found: route.Route, owner: organisation.Organisation | None, now: float
    ) -> bool:
        state = self._node.desired.state
        most = max(each.priority for each in state.routes)
        rank = found.priority
        if owner is not None and owner.priority is not None:
            rank = owner.priority
        return overload.sheds(self._node.lag.seconds(now), rank, most)

    def _check_processor(
        self,
        found: route.Route,
        owner: organisation.Organisation | None,
        now: float,
    ) -> None:
        if not self._sheds(found, owner, now):
            return
        if owner is not None:
            self._node.limiters.limiter(owner.name).give_back(now)
        raise _refusal(
            kind.ErrorKind.NO_CAPACITY,
            f"this VM is {self._node.lag.seconds(now):.2f} s behind with its work",
            OVERLOAD_RETRY_SECONDS + self._retry_seconds(),
        )

    def _authenticate(
        self, facts: request_facts.RequestFacts, now: float
    ) -> organisation.Organisation:
        node = self._node
        if not node.keys_usable(now):
            raise _refusal(
                kind.ErrorKind.KEYS_STALE,
                "the keys in force were confirmed "
                f"{node.desired.age(now):.1f} s ago, which is too long",
                self._retry_seconds(),
            )
        owner = node.desired.keys.owner(facts.key)
        if owner is None:
            raise _refusal(kind.ErrorKind.KEY_UNKNOWN, "the key is not known")
        limiter = node.limiters.limiter(owner.name)
        if not limiter.admit(now):
            raise _refusal(
                kind.ErrorKind.RATE_LIMITED,
                f"the rate of organisation {owner.name} is used up: "
                f"share {limiter.share:.3f} of {owner.rate:g}/s, "
                f"demand here {limiter.demand(now):.1f}/s",
                limiter.wait_seconds() + self._retry_seconds(),
            )
        return owner

    async def _send_until_answered(self, job: _Job) -> reply.Reply:
        node = self._node
        excluded: set[str] = set()
        sends, unsent = 0, 0
        failure: error.RattanlugError | None = None
        while True:
            now = clock.now()
            chosen = self._choose(job, frozenset(excluded), now)
            if chosen is None:
                break
            if sends and not node.budget(job.service).try_repeat(
                node.fleet_size(now), now
            ):
                break
            try:
                return await self._send(job, chosen, failure)
            except error.UpstreamError as exc:
                excluded.add(chosen.record.id)
                reached = exc.kind is not kind.ErrorKind.UPSTREAM_FAILED
                sends += reached
                unsent += not reached
                failure = _worse(failure, exc)
                again = decision.may_send_again(
                    job.route.idempotent,
                    exc.answer.ran,
                    sends,
                    job.route.max_attempts,
                    job.deadline - clock.now(),
                )
                if not again or unsent > job.route.max_attempts:
                    break
        raise self._final(job, failure)

    def _final(
        self, job: _Job, failure: error.RattanlugError | None
    ) -> error.RattanlugError:
        if failure is not None and failure.answer.ran is not ran.Ran.NO:
            return failure
        if job.owner is not None:
            self._node.limiters.limiter(job.owner.name).give_back(clock.now())
        return _refusal(
            kind.ErrorKind.NO_CAPACITY,
            "no upstream can answer in time",
            self._retry_seconds(),
        )

    def _choose(
        self, job: _Job, excluded: frozenset[str], now: float
    ) -> placement.Placement | None:
        node = self._node
        times = self._times(job.route)
        wanted = demand.Demand(
            service=job.service,
            route=job.route.name,
            object_id=_object_id(job),
            idempotent=job.route.idempotent,
            target_left=job.received_at + job.route.target_latency - now,
            time_left=job.deadline - now,
            kilobytes=self._kilobytes(job),
            home_regions=_home_regions(job),
            versions=node.versions.allowed(
                job.service,
                node.registry.slots_by_version(job.service),
                node.longest_timeout(job.service),
                now,
            ),
            excluded=excluded,
        )
        if wanted.time_left <= 0.0:
            return None
        return node.placer.choose(wanted, times, now)

    def _times(self, found: route.Route):
        return self._node.placer.times(found.name, found.target_latency, found.affinity)

    async def _send(
        self,
        job: _Job,
        chosen: placement.Placement,
        earlier: error.RattanlugError | None,
    ) -> reply.Reply:
        node, record = self._node, chosen.record
        load = node.placer.load(record, clock.now())
        began = clock.now()
        token = node.placer.begin(record, _object_id(job), began)
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
            node.placer.distances.learn(record.data_centre, exchange.connect_seconds)
        answer = exchange.answer
        found = answer_facts.decode(answer.status, answer.headers)
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
                ran.Ran.NO,
            )
        self._note_answer(job, chosen, answer, now - began, busy, now)
        return self._reply(job, chosen, answer, now)

    async def _exchange(
        self, job: _Job, record: upstream_record.UpstreamRecord
    ) -> connection_pools.Exchange:
        node = self._node
        time_left = job.deadline - clock.now()
        distance = node.placer.distances.round_trip(record.data_centre)
        connect_seconds = min(
            time_left, CONNECT_ROUND_TRIPS * distance + CONNECT_EXTRA_SECONDS
        )
        with trio.move_on_after(max(0.0, time_left)):
            return await node.pools.send(
                record.host,
                record.port,
                lambda: self._outgoing(job, record),
                job.facts.request_id.encode("latin-1"),
                connect_seconds,
            )
        raise error.UpstreamError(
            kind.ErrorKind.DEADLINE_EXCEEDED, "the upstream did not answer in time"
        )

    def _outgoing(
        self, job: _Job, record: upstream_record.UpstreamRecord
    ) -> httpcore.Request:
        """Build the request as it is sent now.

        Raises
        ------
        error.UpstreamError
            The time of the request is over.
        """
        incoming = job.incoming
        time_left = job.deadline - clock.now()
        if time_left <= 0.0:
            raise error.UpstreamError(
                kind.ErrorKind.UPSTREAM_FAILED, "no time is left", ran.Ran.NO
            )
        has_body = bool(incoming.body) or any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in incoming.headers
        )
        state = self._node.desired.state
        headers = request_facts.for_upstream(
            request_facts.forwarded(
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
        job: _Job,
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
            load.note_slowdown(
                (now - job.received_at) / self._times(job.route).cold, now
            )
        node.log.write(
            "send failed",
            now,
            id=job.facts.request_id,
            upstream=record.id,
            data_centre=record.data_centre,
            kind=exc.kind.value,
            ran=exc.answer.ran.value,
            failures=round(load.failure_share(now), 2),
        )

    def _note_answer(
        self,
        job: _Job,
        chosen: placement.Placement,
        answer: response.Response,
        seconds: float,
        busy: float,
        now: float,
    ) -> None:
        node, record = self._node, chosen.record
        load = node.placer.load(record, now)
        times = self._times(job.route)
        work = seconds - node.placer.distances.round_trip(record.data_centre)
        failed = answer.status >= _FIRST_FAILURE_STATUS
        load.note_outcome(failed, now)
        if not failed and busy < record.slots:
            hit = times.is_warm(work / load.slowdown(now))
            expected = times.warm if hit else times.cold
            load.note_slowdown(work / expected, now)
            node.placer.learn_warmth(job.service, chosen, hit)
            if load.slowdown(now) < SLOW_RATIO:
                times.learn(work)
        cold = node.registry.cold_seconds(record.id, now) > 0.0
        slow = not cold and work > SLOW_RATIO * times.cold
        self._count_outcome(job, record, failed or slow, now)

    def _count_outcome(
        self,
        job: _Job,
        record: upstream_record.UpstreamRecord,
        bad: bool,
        now: float,
    ) -> None:
        node = self._node
        if job.service not in node.versions.orders:
            return
        is_new = node.versions.is_trial(job.service, record.version)
        node.outcomes.add(job.service, job.route.name, is_new, bad, now)

    def _reply(
        self,
        job: _Job,
        chosen: placement.Placement,
        answer: response.Response,
        now: float,
    ) -> reply.Reply:
        node = self._node
        seconds = now - job.received_at
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
            route=job.route.name,
            state=node.desired.version,
            upstream=chosen.record.id,
            data_centre=chosen.record.data_centre,
            status=answer.status,
            seconds=round(seconds, 3),
            expected=round(chosen.seconds, 3),
            busy=round(chosen.busy, 1),
            warm=round(chosen.warm, 2),
            ground=chosen.ground.value,
            object=_object_id(job),
        )
        headers = answer_facts.forwarded(answer.headers, len(answer.body))
        return reply.Reply(answer.status, headers, answer.body)

    def _kilobytes(self, job: _Job) -> float:
        answer = self._answer_kilobytes.get(job.route.name, FIRST_ANSWER_KILOBYTES)
        body = len(job.incoming.body) / _BYTES_PER_KILOBYTE
        return HEAD_KILOBYTES + body + answer

    def _retry_seconds(self) -> float:
        return RETRY_SECONDS + RETRY_SPREAD_SECONDS * self._node.rng.random()

    def _log_refusal(
        self,
        facts: request_facts.RequestFacts,
        exc: error.RattanlugError,
        now: float,
        **fields: str,
    ) -> None:
        self._node.log.write(
            f"refused: {exc.kind.value}",
            now,
            id=facts.request_id,
            detail=exc.detail,
            ran=exc.answer.ran.value,
            state=self._node.desired.version,
            age=_rounded(self._node.desired.age(now)),
            **fields,
        )


def _object_id(job: _Job) -> str | None:
    """Return a name of the request's object; routes may use the same names."""
    if not job.route.affinity or job.facts.object_id is None:
        return None
    return f"{job.route.name} {job.facts.object_id}"


def _home_regions(job: _Job) -> frozenset[str] | None:
    homes = [job.route.home_regions]
    if job.owner is not None:
        homes.append(job.owner.home_regions)
    bound = [each for each in homes if each]
    return frozenset.intersection(*bound) if bound else None


def _refusal(
    error_kind: kind.ErrorKind, detail: str, retry_after: float | None = None
) -> error.RefusedError:
    return error.RefusedError(error_kind, detail, retry_after=retry_after)


def _worse(
    earlier: error.RattanlugError | None, later: error.RattanlugError
) -> error.RattanlugError:
    """Return the failure that says less about whether the request ran."""
    if earlier is not None and earlier.answer.ran is not ran.Ran.NO:
        return earlier
    return later


def _rounded(seconds: float) -> float | None:
    return round(seconds, 2) if math.isfinite(seconds) else None
