"""Loads the table of client blocks from the object store."""

from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.loops import registry
from rattanlug.errors import error
from rattanlug.logs import state_log
from rattanlug.lookup import block_table, sorted_blocks

OBJECT_NAME = "lookup/blocks"
_INTERVAL_SECONDS = 5.0


@registry.register("block_table", _INTERVAL_SECONDS)
async def load_table(node: daemon_node.Node, spawner: registry.Spawner) -> None:
    """Load the table once; without one, look-ups return the VMs nearest to this."""
    if node.lookups.blocks:
        return
    try:
        data = await node.platform.get_object(OBJECT_NAME)
        if data is None:
            return
        table = block_table.BlockTable.from_bytes(data)
    except error.PlatformError:
        node.counters.add("platform_failures", call="block_table")
        return
    except sorted_blocks.BlockTableError:
        node.counters.add("block_table_rejected")
        return
    node.lookups.set_table(table)
    state_log.log_change("block_table", 0, len(table), version=table.version)
