"""What a VM tells the others about itself."""

from typing import NamedTuple

from rattanlug.fleet import outcome_count


class Digest(NamedTuple):
    """A report of one VM.

    Attributes
    ----------
    vm : str
    incarnation : int
        Rises with each start of the daemon.
    sequence : int
        Rises with each report of one incarnation.
    data_centre : str
    host : str
    port : int
        Where callers connect.
    leaving : bool
    state_version : int
        Version of the desired state in force.
    demand : dict of str to float
        Requests a second that each organisation sends to this VM.
    outcomes : tuple of outcome_count.OutcomeCount
    reverted : tuple of int
        Orders that this VM has found to be for a bad version.
    overloaded : bool
        Whether the VM was behind with its work in the last seconds.
    """

    vm: str
    incarnation: int
    sequence: int
    data_centre: str
    host: str
    port: int
    leaving: bool
    state_version: int
    demand: dict[str, float]
    outcomes: tuple[outcome_count.OutcomeCount, ...]
    reverted: tuple[int, ...]
    overloaded: bool = False
