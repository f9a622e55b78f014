"""Settings for access to the platform's store."""

from typing import NamedTuple

from rattanlug.settings import address


class StoreSettings(NamedTuple):
    """Address and rate limits of the store.

    Attributes
    ----------
    address : address.Address
    reads_per_second, writes_per_second : float
        Rate limits for all VMs together.
    """

    address: address.Address
    reads_per_second: float
    writes_per_second: float
