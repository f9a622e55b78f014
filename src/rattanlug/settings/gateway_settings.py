"""Settings of ``rattanlug gateway``, the entry daemon on the shared platform."""

from typing import NamedTuple

from rattanlug.desired import bounds
from rattanlug.settings import address, store_settings


class GatewaySettings(NamedTuple):
    """Settings from the TOML file that the platform writes for each VM.

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
        Address for requests of callers.
    readiness : address.Address
        Address for readiness checks of the platform.
    lookups : address.Address
        Address at which callers look up which VM to use.
    peer_ports : tuple of int
        First and last port of the range for traffic between VMs.
    seed_hosts : tuple of str
        IP addresses of some VMs; they may be stale.
    heartbeat : float
        Interval between the reports of an upstream, seconds.
    memory_bytes : int
        Memory limit of the VM.
    max_descriptors : int
        Limit of open file descriptors.
    processor_share : float
        Processor time that the VM may use, in cores.
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
