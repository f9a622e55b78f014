"""The fields of gossip messages that do not concern membership."""

import math

from rattanlug.daemon import clock
from rattanlug.daemon import node as daemon_node
from rattanlug.membership import member_state
from rattanlug.peer import data_centre_ages
from rattanlug.peer.generated import constants, ttypes

_MILLISECONDS_PER_SECOND = 1000


def fill(
    node: daemon_node.Node,
    message: ttypes.Gossip,
    data_centre: str,
    by_name: bool = False,
) -> None:
    """Write configuration version, evidence, ages and finished moves into a message.

    Parameters
    ----------
    node : node.Node
    message : ttypes.Gossip
    data_centre : str
        Data centre of the peer, empty if it is not known.
    by_name : bool
        Whether the peer's configuration lists other data centres than this VM's, so
        that ages have to be sent by name.
    """
    now = clock.now()
    current = node.active.configuration
    message.config_version = current.version
    message.evidence_version = current.version
    age = node.evidence.age(now) * _MILLISECONDS_PER_SECOND
    if age < constants.UNKNOWN_AGE_MS:
        message.evidence_age_ms = math.ceil(age)
    serving = node.members.own.state is member_state.MemberState.SERVING
    ages = node.contact.report(now, data_centre, serving)
    data_centre_ages.encode_ages(message, ages, current.data_centres, by_name)
    message.finished_moves = [
        ttypes.MoveResult(name, state) for name, state in node.versions.finished_moves()
    ] or None


def read(
    node: daemon_node.Node, message: ttypes.Gossip, data_centre: str, asked_at: float
) -> None:
    """Apply the fields of a peer's response.

    Parameters
    ----------
    node : node.Node
    message : ttypes.Gossip
    data_centre : str
        Data centre of the peer, empty if it is not known.
    asked_at : float
        Time just before the request was sent, seconds; relayed ages count from it.
    """
    now = clock.now()
    if message.evidence_age_ms < constants.UNKNOWN_AGE_MS:
        node.evidence.observe_peer(
            asked_at,
            message.evidence_age_ms / _MILLISECONDS_PER_SECOND,
            message.evidence_version,
        )
    ages = data_centre_ages.decode_ages(message, node.active.configuration.data_centres)
    node.contact.observe(asked_at, ages, message.config_version)
    if data_centre:
        node.contact.observe_version(data_centre, message.config_version)
        node.seats.accept(node.contact.accepted_version(), now)
    if data_centre == node.settings.data_centre:
        node.seats.record_contact(asked_at, now)
    for result in message.finished_moves or ():
        node.versions.record_final_state(result.move, result.state)
