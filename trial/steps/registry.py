"""The registry of steps."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from trial.steps import context

Action = Callable[[context.Context], Awaitable[str]]


class Step(NamedTuple):
    """A registered step.

    Attributes
    ----------
    name : str
    at : float
        Start time, as a fraction of the load's duration.
    vms : int
        Number of VMs that the step removes.
    action : callable
        Returns a one-line summary.
    """

    name: str
    at: float
    vms: int
    action: Action


STEPS: list[Step] = []


def step(name: str, at: float, vms: int = 0) -> Callable[[Action], Action]:
    """Register a step."""

    def register(action: Action) -> Action:
        STEPS.append(Step(name, at, vms, action))
        return action

    return register


def choose_steps(vms: int) -> tuple[list[Step], list[Step]]:
    """Return the steps to perform with a number of VMs, of which one must remain.

    Returns
    -------
    tuple of list of Step
        The steps to perform and those omitted. With two VMs, only the later of two
        steps that each remove a VM is performed.
    """
    chosen, omitted = [], []
    for each in sorted(STEPS, key=lambda step: -step.at):
        if each.vms and each.vms >= vms:
            omitted.append(each)
        else:
            vms -= each.vms
            chosen.append(each)
    return chosen[::-1], omitted
