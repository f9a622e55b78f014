"""Admission control: decides whether to serve a request."""

import math

from rattanlug.caller import reply, request, request_head
from rattanlug.daemon import clock
from rattanlug.desired import organisation, route, split
from rattanlug.errors import error, kind
from rattanlug.gateway import admitted_request, rejections, sender
from rattanlug.gateway import node as node_module
from rattanlug.platform import request_headers
from rattanlug.rate_limits import overload

# Reserved for returning the response before the deadline.
RESPONSE_MARGIN_SECONDS = 0.02
# Time that a response may be late if it isn't known when its request arrived.
MAX_LATE_SECONDS = 0.2
# Added to the retry delay while the VM is overloaded.
OVERLOAD_RETRY_AFTER_SECONDS = 0.5


class Admission:
    """Checks the route, key and rate of a request and the load of this VM.

    Parameters
    ----------
    node : node.Node
    """

    def __init__(self, node: node_module.Node) -> None:
        self._node = node

    def reject_early(
        self, head: request_head.RequestHead, arrived_at: float
    ) -> bytes | None:
        """Return the response to a request that is rejected, or None.

        A request may be rejected here for its key, its rate or the load of this VM.
        Rejects at minimal cost, for organisations that send many times their rate and
        callers that retry immediately.

        Parameters
        ----------
        head : request_head.RequestHead
        arrived_at : float
            Earliest possible arrival time of the request, monotonic seconds.
        """
        now = clock.now()
        state = self._node.desired.state
        if state is None or self._node.leaving or not state.organisations:
            return None
        headers = request_headers.decode(head.headers)
        path = head.target.partition(b"?")[0].decode("latin-1")
        matched_route = self._node.desired.routes.find(headers.host, path)
        if matched_route is None or matched_route.public:
            return None
        owner = self._node.desired.keys.owner(headers.key)
        if (
            owner is not None
            and self._node.keys_usable(now)
            and not self._node.limiters.limiter(owner.name).would_reject(now)
            and not self._should_shed(matched_route, owner, arrived_at, now)
        ):
            return None
        try:
            owner = self._authenticate(headers, now)
            self._check_load(matched_route, owner, arrived_at, now)
        except error.RefusedError as exc:
            self._node.counters.add("errors", kind=exc.kind.value)
            self.log_rejection(headers, exc, now, route=matched_route.name)
            return reply.to_bytes(reply.from_error(exc))
        return None

    def find_route(self, incoming: request.Request) -> route.Route | None:
        """Return the route that matches a request, or None."""
        host = incoming.header(b"host") or ""
        path = incoming.raw_path.decode("latin-1")
        return self._node.desired.routes.find(host, path)

    def check_delay(
        self,
        incoming: request.Request,
        headers: request_headers.RequestHeaders,
        now: float,
    ) -> None:
        """Reject a request that has waited too long to be served in time.

        Raises
        ------
        error.RefusedError
        """
        matched_route = self.find_route(incoming)
        waited_from = incoming.waited_from
        if matched_route is None or waited_from is None:
            return
        owner = (
            None if matched_route.public else self._node.desired.keys.owner(headers.key)
        )
        if self._should_shed(matched_route, owner, waited_from, now):
            raise self._overload_rejection(waited_from, now)

    def admit(
        self,
        incoming: request.Request,
        headers: request_headers.RequestHeaders,
        now: float,
    ) -> admitted_request.AdmittedRequest:
        """Decide whether to serve a request.

        Raises
        ------
        error.RefusedError
        """
        node = self._node
        state = node.desired.state
        if state is None or not node.knows_upstreams:
            raise rejections.rejection(
                kind.ErrorKind.STARTING,
                "this VM has not loaded its routes and upstreams yet",
                rejections.STARTING_RETRY_AFTER_SECONDS,
            )
        matched_route = self.find_route(incoming)
        if matched_route is None:
            raise rejections.rejection(
                kind.ErrorKind.ROUTE_UNKNOWN, "no route matches this host and path"
            )
        arrived_at = now if incoming.arrived_at is None else incoming.arrived_at
        timeout = matched_route.timeout
        if headers.time_left is not None:
            timeout = min(timeout, headers.time_left - RESPONSE_MARGIN_SECONDS)
        self._check_shutdown(matched_route, arrived_at + timeout, now)
        owner = None
        if state.organisations and not matched_route.public:
            owner = self._authenticate(headers, now)
        waited_from = now if incoming.waited_from is None else incoming.waited_from
        node.histograms.record("request_unread", now - waited_from)
        self._check_load(matched_route, owner, waited_from, now)
        service = split.pick_service(matched_route, node.rng)
        node.retry_budget(service).count_request(now)
        return admitted_request.AdmittedRequest(
            incoming,
            headers,
            matched_route,
            owner,
            service,
            arrived_at,
            arrived_at + timeout,
            *self._latest_ends(matched_route, headers.time_left, arrived_at, now),
            now,
        )

    def _latest_ends(
        self,
        matched_route: route.Route,
        time_left: float | None,
        arrived_at: float,
        now: float,
    ) -> tuple[float, float]:
        """Return the times until which an upstream may work on a request, seconds.

        A caller should get its response before its own deadline. But around a stop of
        the VM, a request must not be broken off before it; the second time is for that.
        """
        latest_arrival = min(now, arrived_at + MAX_LATE_SECONDS)
        latest_end = latest_arrival + matched_route.timeout
        if time_left is None:
            return latest_end, latest_end
        return (
            min(latest_end, arrived_at + time_left - RESPONSE_MARGIN_SECONDS),
            min(latest_end, latest_arrival + time_left),
        )

    def _check_shutdown(
        self, matched_route: route.Route, deadline: float, now: float
    ) -> None:
        """Reject a request that the shutdown of this VM may cut.

        After the rejection, the caller repeats the request at another VM; after a cut,
        it has lost the time until then. A request that may run only once is accepted if
        its deadline is before the end of this VM, another one if its work is likely to
        end before it, or if no other VM takes requests.

        Raises
        ------
        error.RefusedError
        """
        node = self._node
        latest_end = deadline
        if matched_route.idempotent:
            times = node.placer.times(
                matched_route.name, matched_route.target_latency, matched_route.affinity
            )
            latest_end = min(deadline, now + sender.SLOW_RATIO * times.cold)
        if latest_end <= node.ends_at:
            return
        if matched_route.idempotent and not node.has_others(now):
            return
        raise rejections.rejection(
            kind.ErrorKind.LEAVING,
            "this VM shuts down before the deadline of the request",
        )

    def _should_shed(
        self,
        matched_route: route.Route,
        owner: organisation.Organisation | None,
        arrived_at: float,
        now: float,
    ) -> bool:
        state = self._node.desired.state
        max_priority = max(each.priority for each in state.routes)
        priority = matched_route.priority
        if owner is not None and owner.priority is not None:
            priority = owner.priority
        return overload.should_shed(
            self._node.processing_delay(arrived_at, now), priority, max_priority
        )

    def _check_load(
        self,
        matched_route: route.Route,
        owner: organisation.Organisation | None,
        arrived_at: float,
        now: float,
    ) -> None:
        """Reject a request while this VM is overloaded, and refund its rate token.

        Raises
        ------
        error.RefusedError
        """
        if not self._should_shed(matched_route, owner, arrived_at, now):
            return
        if owner is not None:
            self._node.limiters.refund(owner.name, now)
        raise self._overload_rejection(arrived_at, now)

    def _overload_rejection(self, arrived_at: float, now: float) -> error.RefusedError:
        delay = self._node.processing_delay(arrived_at, now)
        return rejections.rejection(
            kind.ErrorKind.NO_CAPACITY,
            f"this VM is overloaded: requests are delayed by {delay:.2f} s",
            OVERLOAD_RETRY_AFTER_SECONDS
            + rejections.retry_after_seconds(self._node.rng),
        )

    def _authenticate(
        self, headers: request_headers.RequestHeaders, now: float
    ) -> organisation.Organisation:
        """Return the organisation that owns the key, after taking a rate token.

        Raises
        ------
        error.RefusedError
            When the key or its age is not acceptable, or the rate is exceeded.
        """
        node = self._node
        if not node.keys_usable(now):
            raise rejections.rejection(
                kind.ErrorKind.KEYS_STALE,
                "the keys were last confirmed "
                f"{node.desired.age(now):.1f} s ago, which is too long",
                rejections.retry_after_seconds(self._node.rng),
            )
        owner = node.desired.keys.owner(headers.key)
        if owner is None:
            raise rejections.rejection(kind.ErrorKind.KEY_UNKNOWN, "the key is unknown")
        limiter = node.limiters.limiter(owner.name)
        if not limiter.admit(now):
            raise rejections.rejection(
                kind.ErrorKind.RATE_LIMITED,
                f"organisation {owner.name} exceeds its rate: "
                f"share {limiter.share:.3f} of {owner.rate:g}/s, "
                f"demand at this VM {limiter.demand(now):.1f}/s",
                limiter.wait_seconds() + rejections.retry_after_seconds(self._node.rng),
            )
        return owner

    def log_rejection(
        self,
        headers: request_headers.RequestHeaders,
        exc: error.RattanlugError,
        now: float,
        **fields: str | float | bool,
    ) -> None:
        """Log a request that was rejected or failed."""
        owner = self._node.desired.keys.owner(headers.key)
        self._node.log.write(
            f"refused: {exc.kind.value}",
            now,
            id=headers.request_id,
            organisation=owner.name if owner else None,
            detail=exc.detail,
            ran=exc.response.executed.value,
            state=self._node.desired.version,
            age=_rounded(self._node.desired.age(now)),
            **fields,
        )


def _rounded(seconds: float) -> float | None:
    return round(seconds, 2) if math.isfinite(seconds) else None
