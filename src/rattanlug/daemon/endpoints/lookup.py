"""Look-up: which VMs a client should use."""

from rattanlug.caller import reply, request
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon import service_state
from rattanlug.daemon.endpoints import registry
from rattanlug.errors import error, kind

LIFETIME_SECONDS = 5


@registry.register("GET", "lookup")
async def lookup(node: daemon_node.Node, incoming: request.Request) -> reply.Reply:
    """Respond with up to three VMs and the time for which to cache them."""
    if node.state is service_state.ServiceState.STARTING:
        # An outdated configuration may name data centres that no longer exist.
        raise error.RefusedError(
            kind.ErrorKind.STARTING, "this VM does not serve look-ups yet"
        )
    client = incoming.parameters.get("client", incoming.client)
    try:
        vms = node.lookups.resolve(client)
    except ValueError as exc:
        raise error.RefusedError(
            kind.ErrorKind.REQUEST_MALFORMED, "client; accepted: an IP address"
        ) from exc
    if not vms:
        raise error.RefusedError(kind.ErrorKind.STARTING, "no serving VM is known yet")
    value = {
        "vms": [
            {"vm": item.vm, "host": item.address[0], "port": item.address[1]}
            for item in vms
        ],
        "lifetime": LIFETIME_SECONDS,
    }
    headers = {"Cache-Control": f"max-age={LIFETIME_SECONDS}"}
    return reply.from_json(value, headers=headers)
