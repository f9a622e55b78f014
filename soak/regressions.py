"""Runs that failed once, each with its cause; all are repeated before a release."""

from typing import NamedTuple


class Regression(NamedTuple):
    """A run that failed once.

    Attributes
    ----------
    seed : int
    seconds : float
    cause : str
    first_vm_cpu_share : float
        CPU share of the first VM; 0 means no limit.
    """

    seed: int
    seconds: float
    cause: str
    first_vm_cpu_share: float = 0.0


REGRESSIONS = (
    Regression(
        1,
        15.0,
        "a SIGHUP at the end of a shutdown killed the process (stops_end_in_time)",
    ),
    Regression(
        911,
        6.0,
        "requests waited unread in the accept queue and ran after the caller had left "
        "(nothing_runs_for_callers_that_left)",
        first_vm_cpu_share=0.25,
    ),
)
