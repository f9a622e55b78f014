"""How to reach the platform's store."""

from typing import NamedTuple

from rattanlug.settings import address


class StoreSettings(NamedTuple):
    """Address and rates of the store.

    Attributes
    ----------
    address : address.Address
    reads_per_second : float
        For all VMs together.
    writes_per_second : float
        For all VMs together.
    """

    address: address.Address
    reads_per_second: float
    writes_per_second: float
