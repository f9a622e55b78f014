"""The counts of one VM in a form that goes through JSON."""

from typing import TypedDict


class SeriesSnapshot(TypedDict):
    """Counts of one organisation on one route.

    Attributes
    ----------
    organisation, route : str
    windows : dict
        ``[total, failed, slow]`` by window length in seconds, written as text
        because keys of JSON objects are.
    history : list
        ``[total, failed, slow]`` of each bucket of ``Snapshot.bucket_s``, newest
        first, without the empty ones at the old end.
    latency : str
        Latencies since the start of the process, microseconds, in the encoding of
        HdrHistogram V2 with base64.
    """

    organisation: str
    route: str
    windows: dict[str, list[int]]
    history: list[list[int]]
    latency: str


class Snapshot(TypedDict):
    """Counts of one VM.

    Everything is relative to the moment of the snapshot, because the monotonic clocks
    of two VMs have nothing in common.

    Attributes
    ----------
    vm : str
    covered_s : float
        Seconds since the process started counting.
    bucket_s : int
        Length of one bucket of the histories, seconds.
    dropped : int
        Requests that found no free series and were counted under ``*overflow``.
    series : list of SeriesSnapshot
    """

    vm: str
    covered_s: float
    bucket_s: int
    dropped: int
    series: list[SeriesSnapshot]
