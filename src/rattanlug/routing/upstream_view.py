"""What a policy may know about one upstream."""

from typing import NamedTuple


class UpstreamView(NamedTuple):
    """One upstream with a free slot, as this VM sees it now.

    Attributes
    ----------
    name : str
    free : int
        Slots that this VM may take now.
    slots : int
        Slots of the upstream over all VMs.
    in_flight : int
        Requests of this VM that the upstream works on.
    latency : float or None
        Average of this VM's own answers, seconds; None without recent answers.
    oldest : float
        Age of this VM's longest running request there, seconds; 0 without one.
    reported : float or None
        Reported in-flight share of the slots; None without a usable report.
    weight : float
        Share of its normal work that the upstream should get now, above 0 to 1; below
        1 while it starts cold, returns after failures or answers with errors.
    age : float
        Time since the last answer, seconds.
    """

    name: str
    free: int
    slots: int
    in_flight: int = 0
    latency: float | None = None
    oldest: float = 0.0
    reported: float | None = None
    weight: float = 1.0
    age: float = 0.0
