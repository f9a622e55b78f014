"""A peer to contact next."""

from typing import NamedTuple


class PeerChoice(NamedTuple):
    """Where to send the next gossip message.

    Attributes
    ----------
    vm : str
        Empty for an address of the seeds or of the platform's list, whose VM is not
        known yet.
    peer_address : tuple of (str, int)
    """

    vm: str
    peer_address: tuple[str, int]
