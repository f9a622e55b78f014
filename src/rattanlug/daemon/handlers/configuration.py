"""Handlers of messages that carry configuration versions."""

from rattanlug.configuration import offer_result
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.handlers import registry
from rattanlug.peer import sender
from rattanlug.peer.generated import ttypes


@registry.register(ttypes.FetchConfiguration)
async def fetch_configuration(
    node: daemon_node.Node, message: ttypes.FetchConfiguration, peer: sender.Sender
) -> ttypes.ConfigurationData:
    """Respond with the deltas from the peer's version, or with the full text."""
    return node.sync.to_message(message.from_version, message.from_digest)


@registry.register(ttypes.PushConfiguration)
async def push_configuration(
    node: daemon_node.Node, message: ttypes.PushConfiguration, peer: sender.Sender
) -> ttypes.ConfigurationAcknowledgement:
    """Apply a newer version and respond with the version in force."""
    result = node.sync.apply_message(message.configuration)
    return ttypes.ConfigurationAcknowledgement(
        node.active.configuration.version,
        node.active.digest,
        result in (offer_result.OfferResult.APPLIED, offer_result.OfferResult.KNOWN),
    )
