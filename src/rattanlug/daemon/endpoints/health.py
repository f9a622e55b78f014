"""Readiness and health."""

from rattanlug.caller import reply, request
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon import service_state
from rattanlug.daemon.endpoints import registry

_READY = frozenset(
    {service_state.ServiceState.SERVING, service_state.ServiceState.CUT_OFF}
)


@registry.register("GET", "health")
async def health(node: daemon_node.Node, incoming: request.Request) -> reply.Reply:
    """Respond with 200 and the state while the process works."""
    return reply.from_json(_describe(node))


@registry.register("GET", "ready")
async def ready(node: daemon_node.Node, incoming: request.Request) -> reply.Reply:
    """Respond with 200 while new requests are accepted, else with 503."""
    status = 200 if node.state in _READY else 503
    return reply.from_json(_describe(node), status)


def _describe(node: daemon_node.Node) -> dict:
    return {
        "state": node.state.value,
        "vm": node.settings.vm,
        "configuration_version": node.active.configuration.version,
    }
