"""Settings of the daemon."""

from typing import NamedTuple

from rattanlug.settings import address, kinds


class DaemonSettings(NamedTuple):
    """Everything that a daemon learns from its settings file.

    Attributes
    ----------
    vm : str
        Name of the VM, unique in the fleet.
    data_centre : str
    caller : address.Address
        Where callers and operators connect; also the source of outgoing connections.
    peer : address.Address
        Where the daemon listens for other daemons.
    platform : address.Address
        The platform's service.
    seeds : list of address.Address
        Peer addresses of daemons to contact first.
    peer_advertised : address.Address, optional
        Peer address to give to other daemons when it differs from ``peer``.
    operator_token_digest : str
        SHA-256 of the token that operators' requests carry, 64 hexadecimal digits;
        without it the operators' interface refuses every request.
    log_level : str
    """

    vm: kinds.Name
    data_centre: kinds.Name
    caller: address.Address
    peer: address.Address
    platform: address.Address
    seeds: list[address.Address] = []
    peer_advertised: address.Address | None = None
    operator_token_digest: kinds.Digest = ""
    log_level: kinds.LogLevel = "INFO"
