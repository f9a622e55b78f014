"""Reads the head of the configuration for this data centre."""

from rattanlug.daemon import clock
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.loops import registry
from rattanlug.errors import error

_INTERVAL_SECONDS = 0.5
# The other VMs of the data centre read the head only when its reader seems to have
# stopped.
_STALE_EVIDENCE_SECONDS = 1.5


@registry.register("head", _INTERVAL_SECONDS)
async def read_head(node: daemon_node.Node, spawner: registry.Spawner) -> None:
    """Read the head if this VM is the reader or the evidence is old."""
    now = clock.now()
    if not _is_reader(node, now) and node.evidence.age(now) < _STALE_EVIDENCE_SECONDS:
        return
    try:
        version = await node.sync.refresh()
    except error.PlatformError:
        node.counters.add("platform_failures", call="head")
        return
    except error.InvalidInputError:
        # A newer release wrote rules that this one cannot parse. The VM keeps its
        # version and does not refresh its evidence.
        node.counters.add("configuration_rejected")
        return
    node.evidence.observe_read(now, version)


def _is_reader(node: daemon_node.Node, now: float) -> bool:
    live = node.members.live_members(now, node.settings.data_centre)
    return node.settings.vm == min(record.vm for record in live)
