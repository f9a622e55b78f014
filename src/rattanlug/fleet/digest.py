"""State that a VM sends to other VMs, of itself or of its data centre."""

from typing import NamedTuple

from rattanlug.fleet import member, outcome_count


class Digest(NamedTuple):
    """State of one VM, or, with members, of a data centre.

    In the digest of a data centre, demand, outcomes and reverted orders are the sums
    over all members.

    Attributes
    ----------
    vm : str
        VM that sends the digest.
    incarnation : int
        Increases with each start of the daemon.
    sequence : int
        Increases with each digest of one incarnation.
    data_centre : str
    host, port : str, int
        Address for callers.
    leaving : bool
    state_version : int
        Version of the desired state in force at the VM.
    demand : dict of str to float
        Requests per second to this VM, by organisation.
    outcomes : tuple of outcome_count.OutcomeCount
    reverted : tuple of int
        Row versions of the rollout orders whose target has regressed.
    overloaded : bool
        Whether the VM's event loop was overloaded in the last seconds.
    accepts_data_centre_digests : bool
        Whether the VM understands digests of data centres. A VM of an earlier release
        needs the digest of each VM.
    members : tuple of member.Member
        VMs of the data centre; empty in the digest of a single VM.
    store_era : int
        Era of the store that the row versions belong to; 0 if it is unknown.
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
    store_era: int = 0
