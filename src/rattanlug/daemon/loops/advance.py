"""Brings state, slots and look-ups up to date."""

from rattanlug.daemon import clock
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.loops import registry

_INTERVAL_SECONDS = 0.2


@registry.register("advance", _INTERVAL_SECONDS)
async def advance(node: daemon_node.Node, spawner: registry.Spawner) -> None:
    """Advance the node; nothing here waits, so a slow platform does not delay it."""
    if node.active.configuration.version:
        node.advance(clock.now())
