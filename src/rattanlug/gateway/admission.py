"""Decides which requests are served, before any upstream is chosen."""

import math

from rattanlug.caller import reply, request, request_head
from rattanlug.daemon import clock
from rattanlug.desired import organisation, route, split
from rattanlug.errors import error, kind
from rattanlug.gateway import job as job_module
from rattanlug.gateway import node as node_module
from rattanlug.gateway import refusals
from rattanlug.platform import request_headers
from rattanlug.rate_limits import overload

# Time kept for the answer to travel back before the deadline.
ANSWER_MARGIN_SECONDS = 0.02
# Added to the pause when a VM is overloaded, seconds.
OVERLOAD_RETRY_SECONDS = 0.5


class Admission:
    """Checks route, key, rate and the load of this VM.

    Parameters
    ----------
    node : node.Node
    """

    def __init__(self, node: node_module.Node) -> None:
        self._node = node

    def refuse_early(
        self, head: request_head.RequestHead, arrived_at: float
    ) -> bytes | None:
        """Return the answer to a request that is refused for its key or its rate.

        Answers the load of an organisation that sends many times its rate, and of
        callers that repeat at once: what can't be served costs as little as possible.

        Parameters
        ----------
        head : request_head.RequestHead
        arrived_at : float
            Earliest time at which the request can have arrived, seconds.
        """
        now = clock.now()
        state = self._node.desired.state
        if state is None or self._node.leaving or not state.organisations:
            return None
        facts = request_headers.decode(head.headers)
        path = head.target.partition(b"?")[0].decode("latin-1")
        found = self._node.desired.routes.find(facts.host, path)
        if found is None or found.public:
            return None
        owner = self._node.desired.keys.owner(facts.key)
        if (
            owner is not None
            and self._node.keys_usable(now)
            and not self._node.limiters.limiter(owner.name).would_reject(now)
            and not self._sheds(found, owner, arrived_at, now)
        ):
            return None
        try:
            owner = self._authenticate(facts, now)
            self._check_processor(found, owner, arrived_at, now)
        except error.RefusedError as exc:
            self._node.counters.add("errors", kind=exc.kind.value)
            self.log_refusal(facts, exc, now, route=found.name)
            return reply.to_bytes(reply.from_error(exc))
        return None

    def find_route(self, incoming: request.Request) -> route.Route | None:
        """Return the route of a request, or None."""
        host = incoming.header(b"host") or ""
        path = incoming.raw_path.decode("latin-1")
        return self._node.desired.routes.find(host, path)

    def check_wait(
        self,
        incoming: request.Request,
        facts: request_headers.RequestHeaders,
        now: float,
    ) -> None:
        """Refuse a request that has waited for too long to be served in time.

        Raises
        ------
        error.RefusedError
        """
        found = self.find_route(incoming)
        if found is None or incoming.arrived_at is None:
            return
        owner = None if found.public else self._node.desired.keys.owner(facts.key)
        if self._sheds(found, owner, incoming.arrived_at, now):
            raise self._refusal_of_busy_vm(incoming.arrived_at, now)

    def admit(
        self,
        incoming: request.Request,
        facts: request_headers.RequestHeaders,
        now: float,
    ) -> job_module.Job:
        """Decide whether a request is served.

        Raises
        ------
        error.RefusedError
        """
        node = self._node
        state = node.desired.state
        if state is None or not node.knows_upstreams:
            raise refusals.refusal(
                kind.ErrorKind.STARTING,
                "this VM does not know its routes and upstreams yet",
                refusals.START_RETRY_SECONDS,
            )
        found = self.find_route(incoming)
        if found is None:
            raise refusals.refusal(
                kind.ErrorKind.ROUTE_UNKNOWN, "no route has this path"
            )
        owner = None
        if state.organisations and not found.public:
            owner = self._authenticate(facts, now)
        arrived_at = now if incoming.arrived_at is None else incoming.arrived_at
        node.histograms.record("request_unread", now - arrived_at)
        self._check_processor(found, owner, arrived_at, now)
        service = split.pick_service(found, node.rng)
        node.budget(service).count_request(now)
        wait = found.timeout
        if facts.time_left is not None:
            wait = min(wait, facts.time_left - ANSWER_MARGIN_SECONDS)
        return job_module.Job(
            incoming, facts, found, owner, service, arrived_at, arrived_at + wait, now
        )

    def _sheds(
        self,
        found: route.Route,
        owner: organisation.Organisation | None,
        arrived_at: float,
        now: float,
    ) -> bool:
        state = self._node.desired.state
        most = max(each.priority for each in state.routes)
        rank = found.priority
        if owner is not None and owner.priority is not None:
            rank = owner.priority
        return overload.should_shed(self._node.behind(arrived_at, now), rank, most)

    def _check_processor(
        self,
        found: route.Route,
        owner: organisation.Organisation | None,
        arrived_at: float,
        now: float,
    ) -> None:
        if not self._sheds(found, owner, arrived_at, now):
            return
        if owner is not None:
            self._node.limiters.limiter(owner.name).refund(now)
        raise self._refusal_of_busy_vm(arrived_at, now)

    def _refusal_of_busy_vm(self, arrived_at: float, now: float) -> error.RefusedError:
        behind = self._node.behind(arrived_at, now)
        return refusals.refusal(
            kind.ErrorKind.NO_CAPACITY,
            f"this VM is {behind:.2f} s behind with its work",
            OVERLOAD_RETRY_SECONDS + refusals.retry_seconds(self._node.rng),
        )

    def _authenticate(
        self, facts: request_headers.RequestHeaders, now: float
    ) -> organisation.Organisation:
        node = self._node
        if not node.keys_usable(now):
            raise refusals.refusal(
                kind.ErrorKind.KEYS_STALE,
                "the keys in force were confirmed "
                f"{node.desired.age(now):.1f} s ago, which is too long",
                refusals.retry_seconds(self._node.rng),
            )
        owner = node.desired.keys.owner(facts.key)
        if owner is None:
            raise refusals.refusal(kind.ErrorKind.KEY_UNKNOWN, "the key is not known")
        limiter = node.limiters.limiter(owner.name)
        if not limiter.admit(now):
            raise refusals.refusal(
                kind.ErrorKind.RATE_LIMITED,
                f"the rate of organisation {owner.name} is used up: "
                f"share {limiter.share:.3f} of {owner.rate:g}/s, "
                f"demand here {limiter.demand(now):.1f}/s",
                limiter.wait_seconds() + refusals.retry_seconds(self._node.rng),
            )
        return owner

    def log_refusal(
        self,
        facts: request_headers.RequestHeaders,
        exc: error.RattanlugError,
        now: float,
        **fields: str,
    ) -> None:
        """Write a line for a request that is refused or given up."""
        owner = self._node.desired.keys.owner(facts.key)
        self._node.log.write(
            f"refused: {exc.kind.value}",
            now,
            id=facts.request_id,
            organisation=owner.name if owner else None,
            detail=exc.detail,
            ran=exc.response.executed.value,
            state=self._node.desired.version,
            age=_rounded(self._node.desired.age(now)),
            **fields,
        )


def _rounded(seconds: float) -> float | None:
    return round(seconds, 2) if math.isfinite(seconds) else None
