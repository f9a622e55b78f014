"""Upstreams grouped by distance."""

from typing import NamedTuple

from rattanlug.model import upstream


class Tiers(NamedTuple):
    """Upstreams of one service and version, grouped by distance from a VM.

    Attributes
    ----------
    data_centre : tuple of upstream.Upstream
        In the VM's own data centre.
    region : tuple of upstream.Upstream
        In the other data centres of its region.
    elsewhere : tuple of upstream.Upstream
        In other regions.
    """

    data_centre: tuple[upstream.Upstream, ...]
    region: tuple[upstream.Upstream, ...]
    elsewhere: tuple[upstream.Upstream, ...]
