"""Settings of a relay: forwarded addresses and delays."""

from typing import NamedTuple

PLATFORM = "platform"


class Forward(NamedTuple):
    """An advertised address and the private one that it is forwarded to.

    Attributes
    ----------
    host : str
        Advertised address.
    target_host : str
        Private address; the port is the same.
    port : int
    place : str
        Data centre of the target, or `PLATFORM`.
    """

    host: str
    target_host: str
    port: int
    place: str


class RelayPlan(NamedTuple):
    """Settings of a relay.

    Attributes
    ----------
    control_host : str
    control_port : int
    sources : dict
        Data centre by the first three numbers of a source address.
    client_hosts : list of str
        Source addresses of clients; ``client_s`` is added to their delay.
    client_s : float
        One-way time between a client and its data centre, seconds.
    delays_s : dict
        One-way time from each data centre to the targets, seconds.
    connect_s : float
        Time to open a connection in addition to the round trip, seconds.
    forwards : list of Forward
    """

    control_host: str
    control_port: int
    sources: dict[str, str]
    client_hosts: list[str]
    client_s: float
    delays_s: dict[str, float]
    connect_s: float
    forwards: list[Forward]

    def find_source(self, host: str) -> str:
        """Return the data centre of a source address, or an empty text."""
        return self.sources.get(host.rpartition(".")[0], "")

    def find_delay(self, host: str) -> float:
        """Return the one-way time from a source address, seconds."""
        extra = self.client_s if host in self.client_hosts else 0.0
        return self.delays_s.get(self.find_source(host), 0.0) + extra
