"""Reads the platform's list of VMs."""

from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.loops import registry
from rattanlug.errors import error

_INTERVAL_SECONDS = 2.0


@registry.register("vm_list", _INTERVAL_SECONDS)
async def read_vm_list(node: daemon_node.Node, spawner: registry.Spawner) -> None:
    """Use the listed VMs as gossip addresses.

    The list lags behind reality, so gossip decides which VMs are live.
    """
    try:
        listed = await node.platform.list_vms()
    except error.PlatformError:
        node.counters.add("platform_failures", call="vm_list")
        return
    addresses = [tuple(seed) for seed in node.settings.seeds]
    addresses += [tuple(item.peer_address) for item in listed]
    own = tuple(node.settings.peer_advertised or node.settings.peer)
    node.members.set_bootstrap_addresses(
        [each for each in dict.fromkeys(addresses) if each != own]
    )
