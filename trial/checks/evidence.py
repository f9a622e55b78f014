"""The data of a finished trial that the checks evaluate."""

import base64
from typing import Any, NamedTuple

from trial import deployment
from trial.caller import settings


class MoveFacts(NamedTuple):
    """A rollout of a service version.

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
        State and share of each stage with the seconds since the acceptance.
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
    """Actions and observations of the steps of a trial.

    Times and the ends of intervals are on `clock.now`, seconds.

    Attributes
    ----------
    withdrawn : dict
        Time when the withdrawal was accepted, by name of the key.
    refused_everywhere_s : float or None
        Seconds from the acceptance until every VM refused the withdrawn key.
    leaving : dict
        Time of the first notice that an upstream drains, by name of the upstream.
    killed, stopped : dict
        Time of the signal, by name of the VM.
    outages : dict
        Intervals by name of a VM that was killed and restarted, from the kill until it
        listens again.
    isolated : dict
        Intervals by name of a VM in which it was paused or had no connectivity.
    probes : list of (str, settings.Attempt)
        Key name and attempt of each probe.
    in_force_s : list of (int, float)
        Version and seconds until it was in force on every live VM.
    reverted : list of str
        One text for each time that a VM reported a lower version than before.
    moves : list of MoveFacts
    violations : dict
        Counts of the daemons' own checks, by invariant and VM.
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
    """Input of the checks.

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
        """Return key name and attempt of all requests, including probes."""
        sent = [
            (outcome.key, attempt)
            for outcome in self.report.outcomes
            for attempt in outcome.attempts
        ]
        return sent + self.facts.probes

    def executions(self, version: str | None = None) -> dict[str, float]:
        """Return when the first execution of each request began.

        Parameters
        ----------
        version : str, optional
            Count only executions at upstreams of this service version.

        Returns
        -------
        dict
            Time on `clock.now`, seconds, by request identifier.
        """
        versions = {each.name: each.version for each in self.places.upstreams}
        first: dict[str, float] = {}
        for name, record in self.records.items():
            if version is not None and versions[name] != version:
                continue
            for began, _, request_id, *_ in record["executions"]:
                first[request_id] = min(began, first.get(request_id, began))
        return first

    def received(self) -> list[tuple[str, bytes]]:
        """Return upstream name and raw bytes of every request that was received."""
        return [
            (name, base64.b64decode(each))
            for name, record in self.records.items()
            for each in record["received"]
        ]
