"""Handles callers' requests: admission, choice of an upstream, sending and retries."""

import trio

from rattanlug.caller import reply, request, request_head
from rattanlug.daemon import clock
from rattanlug.errors import error, executed, failure, kind
from rattanlug.gateway import (
    admission,
    admitted_request,
    broken_off,
    iteration_gate,
    rejections,
    sender,
)
from rattanlug.gateway import node as node_module
from rattanlug.placement import placement, placement_request
from rattanlug.platform import request_headers
from rattanlug.retries import retry_policy


class RequestHandler:
    """Serves callers' requests.

    Parameters
    ----------
    node : node.Node
    """

    def __init__(self, node: node_module.Node) -> None:
        self._node = node
        self._admission = admission.Admission(node)
        self._sender = sender.Sender(node)
        self._gate = iteration_gate.IterationGate(node.utilisation)

    def ignores_disconnect(self, incoming: request.Request) -> bool:
        """Tell whether a request is completed even if its caller disconnects."""
        found = self._admission.find_route(incoming)
        return found is not None and not found.idempotent

    def reject_early(
        self, head: request_head.RequestHead, arrived_at: float
    ) -> bytes | None:
        """Return the response to a request that is rejected early, or None."""
        return self._admission.reject_early(head, arrived_at)

    async def serve(self, incoming: request.Request) -> reply.Reply:
        """Serve one request.

        Raises
        ------
        error.RattanlugError
        """
        headers = request_headers.decode(incoming.headers)
        now = clock.now()
        try:
            now = await self._wait_to_start(incoming, headers, now)
            admitted = self._admission.admit(incoming, headers, now)
        except error.RattanlugError as exc:
            self._admission.log_rejection(headers, exc, now)
            raise
        try:
            return await self._send_with_retries(admitted)
        except error.RattanlugError as exc:
            now = clock.now()
            self._node.counters.add(
                "requests_failed", kind=exc.kind.value, route=admitted.route.name
            )
            fields = {}
            if exc.response.executed is not executed.Executed.NO:
                fields = broken_off.count(self._node, admitted, exc.kind.value, now)
            self._admission.log_rejection(
                headers, exc, now, route=admitted.route.name, **fields
            )
            raise
        except Exception:
            # The application logs the error itself and answers 502.
            now = clock.now()
            fields = broken_off.count(self._node, admitted, "internal_error", now)
            self._node.log.write(
                "internal error",
                now,
                id=headers.request_id,
                route=admitted.route.name,
                **fields,
            )
            raise

    async def _wait_to_start(
        self,
        incoming: request.Request,
        headers: request_headers.RequestHeaders,
        now: float,
    ) -> float:
        """Wait until the request may start; return the time then, seconds.

        Raises
        ------
        error.RefusedError
            When it has waited too long.
        """
        while not self._gate.may_start(now):
            await trio.lowlevel.checkpoint()
            now = clock.now()
            self._admission.check_delay(incoming, headers, now)
        self._gate.record_start()
        return now

    async def _send_with_retries(
        self, admitted: admitted_request.AdmittedRequest
    ) -> reply.Reply:
        node = self._node
        # Ids of upstreams to which an attempt failed.
        excluded: set[str] = set()
        # Attempts that reached an upstream, and attempts that did not.
        sends, unreachable = 0, 0
        failed: failure.Failure | None = None
        while True:
            now = clock.now()
            chosen = self._choose(admitted, frozenset(excluded), now)
            if chosen is None:
                break
            if sends and not node.retry_budget(admitted.service).try_retry(
                node.fleet_size(now), now
            ):
                break
            try:
                return await self._sender.send(admitted, chosen)
            except error.RefusedError as exc:
                failed = _least_certain(failed, failure.of(exc))
                break
            except error.UpstreamError as exc:
                excluded.add(chosen.record.id)
                reached = exc.kind is not kind.ErrorKind.UPSTREAM_FAILED
                sends += reached
                unreachable += not reached
                failed = _least_certain(failed, failure.of(exc))
                may_retry = retry_policy.may_retry(
                    admitted.route.idempotent,
                    exc.response.executed,
                    sends,
                    admitted.route.max_attempts,
                    admitted.deadline - clock.now(),
                )
                if not admitted.incoming.is_repeatable:
                    break
                if not may_retry or unreachable > admitted.route.max_attempts:
                    break
        raise self._final_error(admitted, failed)

    def _final_error(
        self,
        admitted: admitted_request.AdmittedRequest,
        failed: failure.Failure | None,
    ) -> error.RattanlugError:
        if failed is not None and failed.executed is not executed.Executed.NO:
            return failed.to_error()
        if admitted.owner is not None:
            self._node.limiters.refund(admitted.owner.name, clock.now())
        if failed is not None and issubclass(failed.error_type, error.RefusedError):
            return failed.to_error()
        return rejections.rejection(
            kind.ErrorKind.NO_CAPACITY,
            "no upstream is available to respond in time",
            rejections.retry_after_seconds(self._node.rng),
        )

    def _choose(
        self,
        admitted: admitted_request.AdmittedRequest,
        excluded: frozenset[str],
        now: float,
    ) -> placement.Placement | None:
        node = self._node
        times = self._sender.route_times(admitted.route)
        wanted = placement_request.PlacementRequest(
            service=admitted.service,
            route=admitted.route.name,
            object_id=admitted.object_id,
            idempotent=admitted.route.idempotent,
            time_to_target=admitted.arrived_at + admitted.route.target_latency - now,
            time_left=admitted.deadline - now,
            kilobytes=self._sender.expected_kilobytes(admitted),
            home_regions=admitted.home_regions,
            versions=node.versions.allowed(
                admitted.service,
                node.registry.slots_by_version(admitted.service),
                node.longest_timeout(admitted.service),
                now,
            ),
            excluded=excluded,
        )
        if wanted.time_left <= 0.0:
            return None
        return node.placer.choose(wanted, times, now)


def _least_certain(
    earlier: failure.Failure | None, later: failure.Failure
) -> failure.Failure:
    """Return the earlier failure if the request may have run, otherwise the later."""
    if earlier is not None and earlier.executed is not executed.Executed.NO:
        return earlier
    return later
