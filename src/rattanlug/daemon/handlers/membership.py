"""Handlers of gossip and of requests for the member list."""

from rattanlug.daemon import clock, gossip_header
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.handlers import registry
from rattanlug.peer import data_centre_ages, sender
from rattanlug.peer.generated import ttypes

_MILLISECONDS_PER_SECOND = 1000
# Keeps the age in milliseconds within the 32 bits of its field.
_MAX_SILENCE_SECONDS = 1e6


@registry.register(ttypes.Gossip)
async def gossip(
    node: daemon_node.Node, message: ttypes.Gossip, peer: sender.Sender
) -> ttypes.Gossip:
    """Apply a gossip request and respond with this VM's updates."""
    names = node.active.configuration.data_centres
    by_name = message.data_centres_digest != data_centre_ages.names_digest(names)
    response = node.exchange.handle_request(message, peer.vm, clock.now())
    record = node.members.get(peer.vm)
    gossip_header.fill(node, response, record.data_centre if record else "", by_name)
    return response


@registry.register(ttypes.FetchMembers)
async def fetch_members(
    node: daemon_node.Node, message: ttypes.FetchMembers, peer: sender.Sender
) -> ttypes.Members:
    """Respond with a page of the member list."""
    return node.exchange.make_page(message, clock.now())


@registry.register(ttypes.FetchLastHeard)
async def fetch_last_heard(
    node: daemon_node.Node, message: ttypes.FetchLastHeard, peer: sender.Sender
) -> ttypes.LastHeard:
    """Respond with how long this VM has been up without contact from another one."""
    seconds = node.silent_for(message.vm, message.incarnation, clock.now())
    age_ms = int(min(seconds, _MAX_SILENCE_SECONDS) * _MILLISECONDS_PER_SECOND)
    return ttypes.LastHeard(message.vm, message.incarnation, age_ms)
