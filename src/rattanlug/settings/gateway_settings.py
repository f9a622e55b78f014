"""Settings of the entry daemon of one VM."""

from typing import NamedTuple

from rattanlug.desired import bounds
from rattanlug.settings import address, store_settings


class GatewaySettings(NamedTuple):
    """What a daemon knows at its start.

    Attributes
    ----------
    vm : str
        Name of this VM.
    host : str
        IP address of this VM.
    data_centre, region : str
    region_of : dict of str to str
        Region of each data centre.
    callers : address.Address
        Where callers connect.
    readiness : address.Address
        Where the platform asks whether this VM is ready.
    lookups : address.Address
        Where callers ask which VM to use.
    peer_ports : tuple of int
        First and last port that is free for daemons.
    seed_hosts : tuple of str
        IP addresses of some VMs, which may be stale.
    heartbeat : float
        Seconds between the reports of an upstream.
    memory_bytes : int
    max_descriptors : int
    processor_share : float
        Cores.
    bounds : bounds.Bounds
    store : store_settings.StoreSettings
    """

    vm: str
    host: str
    data_centre: str
    region: str
    region_of: dict[str, str]
    callers: address.Address
    readiness: address.Address
    lookups: address.Address
    peer_ports: tuple[int, int]
    seed_hosts: tuple[str, ...]
    heartbeat: float
    memory_bytes: int
    max_descriptors: int
    processor_share: float
    bounds: bounds.Bounds
    store: store_settings.StoreSettings
