"""Facts about injected failures."""

from typing import NamedTuple

EVERYTHING = "everything"
PLATFORM = "platform"
PEERS = "peers"


class Event(NamedTuple):
    """An event with its time on `clock.now`."""

    at: float
    text: str


class Cut(NamedTuple):
    """A period during which data centres could not reach others.

    Attributes
    ----------
    scope : str
        What they could not reach: `EVERYTHING`, `PLATFORM` or `PEERS`. Data centres
        of the same cut can reach each other.
    data_centres : tuple of str
    began, ended : float
        On `clock.now`, seconds; all relays apply the cut from ``began`` on.
    """

    scope: str
    data_centres: tuple[str, ...]
    began: float
    ended: float


class Outage(NamedTuple):
    """A period during which the platform was not in the mode ``up``."""

    mode: str
    began: float
    ended: float


class BadVersion(NamedTuple):
    """A version with a fault.

    Attributes
    ----------
    move : str
    accepted : float
        When the move was accepted, on `clock.now`.
    ended : float or None
        When the move's row showed its final state, or None.
    path : str
        Prefix of the paths that have the fault.
    """

    move: str
    accepted: float
    ended: float | None
    path: str


class FailureFacts:
    """Facts of one scenario.

    Attributes
    ----------
    events : list of Event
    cuts : list of Cut
    outages : list of Outage
    bad_versions : list of BadVersion
    races : int
        Races between operators with exactly one winner.
    race_faults : list of str
    unbounded_moves : list of str
        Moves that were not in a final state after their deadline.
    false_rollbacks : list of str
        Good versions that were rolled back.
    completed_bad_moves : list of str
        Moves to a bad version that completed.
    notes : list of str
        Measured times that no check evaluates.
    """

    def __init__(self):
        self.events: list[Event] = []
        self.cuts: list[Cut] = []
        self.outages: list[Outage] = []
        self.bad_versions: list[BadVersion] = []
        self.races = 0
        self.race_faults: list[str] = []
        self.unbounded_moves: list[str] = []
        self.false_rollbacks: list[str] = []
        self.completed_bad_moves: list[str] = []
        self.notes: list[str] = []
