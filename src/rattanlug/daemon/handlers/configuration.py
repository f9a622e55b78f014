"""Configuration versions that travel between VMs."""

from rattanlug.daemon import node as daemon_node
from rattanlug.daemon import push
from rattanlug.daemon.handlers import registry
from rattanlug.peer import sender
from rattanlug.peer.generated import ttypes


@registry.register(ttypes.FetchConfiguration)
async def fetch_configuration(
    node: daemon_node.Node, message: ttypes.FetchConfiguration, peer: sender.Sender
) -> ttypes.ConfigurationData:
    """Answer with the version in force."""
    return push.to_data(node.sync.current)


@registry.register(ttypes.PushConfiguration)
async def push_configuration(
    node: daemon_node.Node, message: ttypes.PushConfiguration, peer: sender.Sender
) -> ttypes.ConfigurationAcknowledgement:
    """Apply a newer version and answer with the version in force."""
    offered = push.from_data(message.configuration)
    if offered is not None:
        node.sync.apply(offered)
    return ttypes.ConfigurationAcknowledgement(
        node.active.configuration.version, node.active.digest, offered is not None
    )
