"""Settings of ``rattanlug daemon``."""

from typing import NamedTuple

from rattanlug.settings import address, setting_types


class DaemonSettings(NamedTuple):
    """Contents of the daemon's JSON settings file.

    Attributes
    ----------
    vm : str
        Name of the VM, unique in the fleet.
    data_centre : str
    caller : address.Address
        Address for callers and operators; its host is also the source address of
        outgoing connections.
    peer : address.Address
        Address for other daemons.
    platform : address.Address
        Address of the platform's service.
    seeds : list of address.Address
        Peer addresses of daemons to contact first.
    peer_advertised : address.Address, optional
        Peer address to announce to other daemons if it differs from ``peer``.
    operator_token_digest : str
        SHA-256 of the operator token, 64 hexadecimal digits; without it the operators'
        interface rejects every request.
    log_level : str
    """

    vm: setting_types.Name
    data_centre: setting_types.Name
    caller: address.Address
    peer: address.Address
    platform: address.Address
    seeds: list[address.Address] = []
    peer_advertised: address.Address | None = None
    operator_token_digest: setting_types.Digest = ""
    log_level: setting_types.LogLevel = "INFO"
