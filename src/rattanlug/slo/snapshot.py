"""JSON representation of the counts of one VM."""

from typing import TypedDict


class SeriesSnapshot(TypedDict):
    """Counts of one organisation on one route.

    Attributes
    ----------
    organisation, route : str
    windows : dict
        ``[total, failed, slow]`` by window length in seconds. The keys are strings, as
        JSON requires.
    history : list
        ``[total, failed, slow]`` of each bucket of ``Snapshot.bucket_s``, newest
        first, without trailing empty buckets.
    latency : str
        Latencies since the start of the process, microseconds, as a base64 string of
        the HdrHistogram V2 encoding.
    """

    organisation: str
    route: str
    windows: dict[str, list[int]]
    history: list[list[int]]
    latency: str


class Snapshot(TypedDict):
    """Counts of one VM.

    All times are relative to the time of the snapshot, because the monotonic clocks of
    two VMs can't be compared.

    Attributes
    ----------
    vm : str
    covered_s : float
        Seconds since the process started counting.
    bucket_s : int
        Length of one bucket of the histories, seconds.
    dropped : int
        Number of requests without a free series, counted under ``*overflow``.
    series : list of SeriesSnapshot
    """

    vm: str
    covered_s: float
    bucket_s: int
    dropped: int
    series: list[SeriesSnapshot]
