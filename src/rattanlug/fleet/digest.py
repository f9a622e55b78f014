"""What a VM tells the others about itself, or about its data centre."""

from typing import NamedTuple

from rattanlug.fleet import member, outcome_count


class Digest(NamedTuple):
    """A report of one VM.

    With members it is the report of a data centre: demand, outcomes and reverted
    orders are then those of all members together.

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
    accepts_data_centre_digests : bool
        Whether the VM understands reports of data centres; one of an earlier release
        has to hear from each VM.
    members : tuple of member.Member
        VMs of the data centre that this report is about.
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
    accepts_data_centre_digests: bool = True
    members: tuple[member.Member, ...] = ()
