"""A planned drain."""

import enum
from typing import NamedTuple


class DrainTarget(enum.Enum):
    """What a drain takes out of service."""

    UPSTREAM = "upstream"
    DATA_CENTRE = "data_centre"
    VM = "vm"


class Drain(NamedTuple):
    """One planned drain; it lasts as long as its rule line stands.

    Attributes
    ----------
    target : DrainTarget
    name : str
        Name of the upstream, data centre or VM.
    """

    target: DrainTarget
    name: str
