"""Target of a gossip message."""

from typing import NamedTuple


class PeerChoice(NamedTuple):
    """Peer to send a gossip message to.

    Attributes
    ----------
    vm : str
        Empty for a bootstrap address, whose VM is not known yet.
    peer_address : tuple of (str, int)
    """

    vm: str
    peer_address: tuple[str, int]
