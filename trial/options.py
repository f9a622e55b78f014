"""Options of a trial."""

from typing import NamedTuple


class Options(NamedTuple):
    """What ``python -m trial run`` was asked to do.

    Attributes
    ----------
    deployment : str
    small : bool
        One data centre with 2 VMs and few upstreams, without a relay.
    stay : bool
        Keep the processes up until interrupted.
    seed : int
    """

    deployment: str = "txiki"
    small: bool = False
    stay: bool = False
    seed: int = 1
