"""Requests that the daemon handles itself: readiness, look-ups and metrics."""

import json
from collections.abc import Mapping
from urllib import parse

from rattanlug.caller import reply, request, request_head
from rattanlug.daemon import clock
from rattanlug.errors import error, kind
from rattanlug.fleet import vm_selection
from rattanlug.gateway import node as node_module
from rattanlug.metrics import exposition, process_memory
from rattanlug.platform import lookup_codec, names

# Short, so that callers soon stop using a VM that shuts down, and long enough that the
# cost of look-ups is small compared with that of requests.
LOOKUP_TTL_SECONDS = 2.0


class Endpoints:
    """Handlers of readiness, look-ups and metrics.

    Parameters
    ----------
    node : node.Node
    """

    def __init__(self, node: node_module.Node) -> None:
        self._node = node

    async def serve_readiness(self, incoming: request.Request) -> reply.Reply:
        """Report to the platform whether this VM serves requests."""
        if incoming.path != names.READY_PATH:
            raise _unknown_path(incoming)
        if not self._node.ready:
            raise error.RefusedError(
                kind.ErrorKind.LEAVING
                if self._node.leaving
                else kind.ErrorKind.STARTING,
                "this VM does not serve requests: it is starting or shutting down",
            )
        return reply.from_text("ready\n")

    def local_lookup_reply(
        self, head: request_head.RequestHead, arrived_at: float
    ) -> bytes | None:
        """Return the response to a valid GET look-up, or None for any other request."""
        path, _, query = head.target.decode("latin-1").partition("?")
        if path != names.LOOKUP_PATH or head.method != b"GET":
            return None
        try:
            return reply.to_bytes(self._look_up(dict(parse.parse_qsl(query))))
        except error.RefusedError:
            return None

    async def serve_lookup(self, incoming: request.Request) -> reply.Reply:
        """Return the VMs that a caller should use."""
        if incoming.path != names.LOOKUP_PATH:
            raise _unknown_path(incoming)
        return self._look_up(incoming.parameters)

    def _look_up(self, parameters: Mapping[str, str]) -> reply.Reply:
        node = self._node
        lookup = lookup_codec.decode(parameters)
        chosen = vm_selection.choose_vms(
            node.live_vms(clock.now()),
            lookup.data_centre,
            lookup.region,
            node.settings.region_of,
        )
        node.counters.add("lookups", answered=str(bool(chosen)).lower())
        if not chosen:
            raise error.RefusedError(kind.ErrorKind.STARTING, "no live VM is known")
        ttl_seconds = min(LOOKUP_TTL_SECONDS, node.settings.bounds.longest_lookup)
        return reply.from_json(lookup_codec.encode(chosen, ttl_seconds))

    async def serve_metrics(self, incoming: request.Request) -> reply.Reply:
        """Return all metrics in the text exposition format."""
        if incoming.path != "/metrics":
            raise _unknown_path(incoming)
        node = self._node
        now = clock.now()
        gauges = {
            "desired_state_version": float(node.desired.version),
            "desired_state_age_seconds": min(node.desired.age(now), 1e9),
            "store_era": float(node.store_era.current),
            "upstreams": float(node.registry.size),
            "event_loop_busy_share": node.utilisation.busy_share,
            "live_vms": float(len(node.live_vms(now))),
            "memory_reserved_bytes": float(node.memory.reserved),
            "memory_private_bytes": float(process_memory.private_bytes()),
        }
        return reply.from_text(
            exposition.render(node.counters, node.histograms, gauges)
        )


def _unknown_path(incoming: request.Request) -> error.RefusedError:
    return error.RefusedError(
        kind.ErrorKind.ROUTE_UNKNOWN,
        f"this listener has no path {json.dumps(incoming.path)}",
    )
