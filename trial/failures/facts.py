"""What injected failures did and saw."""

from typing import NamedTuple

EVERYTHING = "everything"
PLATFORM = "platform"
PEERS = "peers"


class Event(NamedTuple):
    """Something that happened at a time on `clock.now`."""

    at: float
    text: str


class Cut(NamedTuple):
    """A period during which data centres could not reach others.

    Attributes
    ----------
    scope : str
        What they could not reach: `EVERYTHING`, `PLATFORM` or `PEERS`. The data
        centres of one cut reach each other.
    data_centres : tuple of str
    began, ended : float
        On `clock.now`, seconds; the cut is complete from ``began`` on.
    """

    scope: str
    data_centres: tuple[str, ...]
    began: float
    ended: float


class Outage(NamedTuple):
    """A period during which the platform was not up."""

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
    found : float or None
        When its row said that it was rolled back.
    path : str
        The fault shows on paths with this prefix.
    """

    move: str
    accepted: float
    found: float | None
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
        Rounds of racing operators with exactly one winner.
    race_faults : list of str
    unbounded_moves : list of str
        Moves without a final state after their deadline.
    false_rollbacks : list of str
        Good versions that were rolled back.
    reached_done : list of str
        Bad versions whose move ended as done.
    notes : list of str
        Measured times that no check judges.
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
        self.reached_done: list[str] = []
        self.notes: list[str] = []
