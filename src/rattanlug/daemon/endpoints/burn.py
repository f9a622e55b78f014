"""Counts for the report of service-level burn."""

from rattanlug.caller import reply, request
from rattanlug.daemon import clock
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.endpoints import registry


@registry.register("GET", "burn", for_operators=True)
async def burn(node: daemon_node.Node, incoming: request.Request) -> reply.Reply:
    """Answer with the counts of this VM and the objectives in force."""
    objectives = [item._asdict() for item in node.active.configuration.objectives]
    return reply.from_json(
        {
            "snapshot": node.recorder.snapshot(clock.now()),
            "objectives": objectives,
        }
    )
