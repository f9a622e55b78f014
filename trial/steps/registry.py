"""The registry of steps."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from trial.steps import context

Action = Callable[[context.Context], Awaitable[str]]


class Step(NamedTuple):
    """A step.

    Attributes
    ----------
    name : str
    at : float
        When it begins, as part of the length of the load.
    vms : int
        VMs that the step takes away.
    action : callable
        Returns what was seen, in one line.
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
    """Return the steps to carry out with some VMs, of which one must remain.

    Returns
    -------
    tuple of list of Step
        The steps to carry out and those omitted; with two VMs, the later of two steps
        that each take away a VM is carried out.
    """
    chosen, omitted = [], []
    for each in sorted(STEPS, key=lambda step: -step.at):
        if each.vms and each.vms >= vms:
            omitted.append(each)
        else:
            vms -= each.vms
            chosen.append(each)
    return chosen[::-1], omitted
