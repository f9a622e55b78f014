"""An entry of the platform's VM list."""

from typing import NamedTuple

from rattanlug.settings import address


class ListedVm(NamedTuple):
    """One VM as the platform lists it; the list lags behind reality.

    Attributes
    ----------
    vm : str
    data_centre : str
    address : address.Address
        Where callers connect.
    peer_address : address.Address
        Where other daemons connect.
    state : str
        ``live`` or ``leaving``.
    """

    vm: str
    data_centre: str
    address: address.Address
    peer_address: address.Address
    state: str
