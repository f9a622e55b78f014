"""A planned drain: an upstream, data centre or VM that is taken out of service."""

import enum
from typing import NamedTuple


class DrainTarget(enum.Enum):
    """Kinds of objects that a drain takes out of service."""

    UPSTREAM = "upstream"
    DATA_CENTRE = "data_centre"
    VM = "vm"


class Drain(NamedTuple):
    """One planned drain, in effect as long as its line is in the rule file.

    Attributes
    ----------
    target : DrainTarget
    name : str
        Name of the upstream, data centre or VM.
    """

    target: DrainTarget
    name: str
