"""Exchanges membership and configuration state with other VMs."""

from rattanlug.configuration import offer_result
from rattanlug.daemon import clock, gossip_header
from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.loops import registry
from rattanlug.errors import error as error_tree
from rattanlug.membership import peer_choice
from rattanlug.peer import error as peer_error
from rattanlug.peer.generated import ttypes
from rattanlug.settings import address

_INTERVAL_SECONDS = 0.5
_TIMEOUT_SECONDS = 0.45


@registry.register("gossip", _INTERVAL_SECONDS)
async def gossip(node: daemon_node.Node, spawner: registry.Spawner) -> None:
    """Contact the peers of this round."""
    node.contact.begin_round(clock.now())
    for choice in node.members.next_peers(clock.now(), node.rng):
        spawner.start_soon(_exchange, node, choice)


async def _exchange(node: daemon_node.Node, choice: peer_choice.PeerChoice) -> None:
    asked_at = clock.now()
    request = node.exchange.make_request(choice.vm, asked_at)
    known = node.members.get(choice.vm)
    gossip_header.fill(node, request, known.data_centre if known else "")
    peer = address.Address(*choice.peer_address)
    try:
        response = await node.peers.call(peer, request, _TIMEOUT_SECONDS)
    except (peer_error.PeerError, error_tree.RattanlugError):
        if choice.vm:
            node.members.contact_failed(choice.vm, asked_at, clock.now())
        return
    sender = node.peers.vm_at(peer)
    if not sender:
        return
    node.exchange.handle_response(response, sender, asked_at, clock.now())
    if response.config_version > node.active.configuration.version:
        await _fetch_configuration(node, peer)
    record = node.members.get(sender)
    gossip_header.read(node, response, record.data_centre if record else "", asked_at)


async def _fetch_configuration(node: daemon_node.Node, peer: address.Address) -> None:
    """Fetch the deltas to the peer's version, or its full text if they do not apply."""
    version, digest = node.active.configuration.version, node.active.digest
    for message in (
        ttypes.FetchConfiguration(version, digest),
        ttypes.FetchConfiguration(),
    ):
        try:
            data = await node.peers.call(peer, message, _TIMEOUT_SECONDS)
            result = node.sync.apply_message(data)
        except error_tree.InvalidInputError:
            node.counters.add("configuration_rejected")
            return
        except (peer_error.PeerError, error_tree.RattanlugError):
            return
        if result is not offer_result.OfferResult.NEEDS_TEXT:
            return
