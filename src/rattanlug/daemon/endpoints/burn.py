"""Counts for the error-budget burn of the service-level objectives."""

from rattanlug.caller import reply, request
from rattanlug.daemon import clock
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.endpoints import registry


@registry.register("GET", "burn", for_operators=True)
async def burn(node: daemon_node.Node, incoming: request.Request) -> reply.Reply:
    """Respond with the counts of this VM."""
    return reply.from_json({"snapshots": [node.recorder.snapshot(clock.now())]})
