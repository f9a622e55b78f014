"""The path of a caller's request to an upstream and back."""

import trio

from rattanlug.caller import reply, request, request_head
from rattanlug.daemon import clock
from rattanlug.errors import error, executed, kind
from rattanlug.gateway import admission, refusals, sender, turn_gate
from rattanlug.gateway import job as job_module
from rattanlug.gateway import node as node_module
from rattanlug.placement import placement, placement_request
from rattanlug.platform import request_headers
from rattanlug.retries import retry_policy


class RequestPath:
    """Serves requests of callers.

    Parameters
    ----------
    node : node.Node
    """

    def __init__(self, node: node_module.Node) -> None:
        self._node = node
        self._admission = admission.Admission(node)
        self._sender = sender.Sender(node)
        self._gate = turn_gate.TurnGate(node.busy)

    def is_once_only(self, incoming: request.Request) -> bool:
        """Tell whether a request is served to its end even if its caller leaves."""
        found = self._admission.find_route(incoming)
        return found is not None and not found.idempotent

    def refuse_early(
        self, head: request_head.RequestHead, arrived_at: float
    ) -> bytes | None:
        """Return the answer to a request that is refused for its key or its rate."""
        return self._admission.refuse_early(head, arrived_at)

    async def serve(self, incoming: request.Request) -> reply.Reply:
        """Serve one request.

        Raises
        ------
        error.RattanlugError
        """
        facts = request_headers.decode(incoming.headers)
        now = clock.now()
        try:
            now = await self._wait_for_turn(incoming, facts, now)
            job = self._admission.admit(incoming, facts, now)
        except error.RattanlugError as exc:
            self._admission.log_refusal(facts, exc, now)
            raise
        try:
            return await self._send_until_answered(job)
        except error.RattanlugError as exc:
            self._node.counters.add(
                "requests_failed", kind=exc.kind.value, route=job.route.name
            )
            self._admission.log_refusal(facts, exc, clock.now(), route=job.route.name)
            raise

    async def _wait_for_turn(
        self,
        incoming: request.Request,
        facts: request_headers.RequestHeaders,
        now: float,
    ) -> float:
        """Wait until the request may begin; return the time then, seconds.

        Raises
        ------
        error.RefusedError
            It waited for too long.
        """
        while not self._gate.may_begin(now):
            await trio.lowlevel.checkpoint()
            now = clock.now()
            self._admission.check_wait(incoming, facts, now)
        self._gate.note_begin()
        return now

    async def _send_until_answered(self, job: job_module.Job) -> reply.Reply:
        node = self._node
        excluded: set[str] = set()
        sends, unsent = 0, 0
        failure: error.RattanlugError | None = None
        while True:
            now = clock.now()
            chosen = self._choose(job, frozenset(excluded), now)
            if chosen is None:
                break
            if sends and not node.budget(job.service).try_retry(
                node.fleet_size(now), now
            ):
                break
            try:
                return await self._sender.send(job, chosen)
            except error.RefusedError as exc:
                failure = _worse(failure, exc)
                break
            except error.UpstreamError as exc:
                excluded.add(chosen.record.id)
                reached = exc.kind is not kind.ErrorKind.UPSTREAM_FAILED
                sends += reached
                unsent += not reached
                failure = _worse(failure, exc)
                again = retry_policy.may_retry(
                    job.route.idempotent,
                    exc.response.executed,
                    sends,
                    job.route.max_attempts,
                    job.deadline - clock.now(),
                )
                if not again or unsent > job.route.max_attempts:
                    break
        raise self._final(job, failure)

    def _final(
        self, job: job_module.Job, failure: error.RattanlugError | None
    ) -> error.RattanlugError:
        if (
            failure is not None
            and failure.response.executed is not executed.Executed.NO
        ):
            return failure
        if job.owner is not None:
            self._node.limiters.limiter(job.owner.name).refund(clock.now())
        if isinstance(failure, error.RefusedError):
            return failure
        return refusals.refusal(
            kind.ErrorKind.NO_CAPACITY,
            "no upstream can answer in time",
            refusals.retry_seconds(self._node.rng),
        )

    def _choose(
        self, job: job_module.Job, excluded: frozenset[str], now: float
    ) -> placement.Placement | None:
        node = self._node
        times = self._sender.times(job.route)
        wanted = placement_request.PlacementRequest(
            service=job.service,
            route=job.route.name,
            object_id=job.object_id,
            idempotent=job.route.idempotent,
            time_to_target=job.arrived_at + job.route.target_latency - now,
            time_left=job.deadline - now,
            kilobytes=self._sender.kilobytes(job),
            home_regions=job.home_regions,
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


def _worse(
    earlier: error.RattanlugError | None, later: error.RattanlugError
) -> error.RattanlugError:
    """Return the failure that says less about whether the request ran."""
    if earlier is not None and earlier.response.executed is not executed.Executed.NO:
        return earlier
    return later
