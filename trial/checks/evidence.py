"""What a trial left behind to be checked."""

import base64
from typing import Any, NamedTuple

from trial import deployment
from trial.caller import settings


class MoveFacts(NamedTuple):
    """A move between versions.

    Attributes
    ----------
    name : str
    accepted, deadline : float
        On `clock.now`, seconds.
    ended : float or None
    state, reason : str
    cap : float
        Requests/s.
    stages : tuple of str
        States and shares with the seconds after the acceptance.
    """

    name: str
    accepted: float
    deadline: float
    ended: float | None
    state: str
    reason: str
    cap: float
    stages: tuple[str, ...] = ()


class Facts:
    """What the steps of a trial did and saw.

    Attributes
    ----------
    withdrawn : dict
        Time of acceptance by name of a withdrawn key.
    refused_everywhere_s : float or None
        Seconds from the acceptance until every VM refused the withdrawn key.
    leaving : dict
        Time of the first sign by name of a leaving upstream.
    killed, stopped : dict
        Time by name of a VM.
    outages : dict
        Periods by name of a VM that was killed and restarted, from the kill until it
        listens again.
    isolated : dict
        Periods by name of a VM during which it was paused or could reach nobody.
    probes : list of (str, settings.Attempt)
        Key name and attempt of each probe.
    in_force_s : list of (int, float)
        Version and seconds until it was in force on every live VM.
    reverted : list of str
        Versions that a VM reported after a higher one.
    moves : list of MoveFacts
    violations : dict
        Counts of the daemons by invariant, summed over VMs.
    metrics_read : set of str
        VMs whose counts were read.
    """

    def __init__(self):
        self.withdrawn: dict[str, float] = {}
        self.refused_everywhere_s: float | None = None
        self.leaving: dict[str, float] = {}
        self.killed: dict[str, float] = {}
        self.stopped: dict[str, float] = {}
        self.outages: dict[str, list[tuple[float, float]]] = {}
        self.isolated: dict[str, list[tuple[float, float]]] = {}
        self.probes: list[tuple[str, settings.Attempt]] = []
        self.in_force_s: list[tuple[int, float]] = []
        self.reverted: list[str] = []
        self.moves: list[MoveFacts] = []
        self.violations: dict[str, dict[str, int]] = {}
        self.metrics_read: set[str] = set()


class Evidence(NamedTuple):
    """Everything that the checks read.

    Attributes
    ----------
    plan : deployment.Deployment
    places : deployment.Places
    keys : dict
        Key by name.
    operator_token : str
    report : settings.CallerReport
    records : dict
        Content of ``/.record`` by name of the upstream.
    facts : Facts
    """

    plan: deployment.Deployment
    places: deployment.Places
    keys: dict[str, str]
    operator_token: str
    report: settings.CallerReport
    records: dict[str, dict[str, Any]]
    facts: Facts

    def attempts(self) -> list[tuple[str, settings.Attempt]]:
        """Return key name and attempt of all requests, probes included."""
        sent = [
            (outcome.key, attempt)
            for outcome in self.report.outcomes
            for attempt in outcome.attempts
        ]
        return sent + self.facts.probes

    def executions(self, version: str | None = None) -> dict[str, float]:
        """Return the first start of each executed request by its identifier."""
        versions = {each.name: each.version for each in self.places.upstreams}
        first: dict[str, float] = {}
        for name, found in self.records.items():
            if version is not None and versions[name] != version:
                continue
            for began, _, request_id, *_ in found["executions"]:
                first[request_id] = min(began, first.get(request_id, began))
        return first

    def received(self) -> list[tuple[str, bytes]]:
        """Return upstream and bytes of every request that an upstream received."""
        return [
            (name, base64.b64decode(each))
            for name, found in self.records.items()
            for each in found["received"]
        ]
