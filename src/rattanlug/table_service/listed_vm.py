"""An entry of the platform's VM list."""

from typing import NamedTuple

from rattanlug.settings import address


class ListedVm(NamedTuple):
    """One VM as the platform lists it; the list may be outdated.

    Attributes
    ----------
    vm : str
    data_centre : str
    address : address.Address
        Address for callers.
    peer_address : address.Address
        Address for other daemons.
    state : str
        ``live`` or ``leaving``.
    """

    vm: str
    data_centre: str
    address: address.Address
    peer_address: address.Address
    state: str
