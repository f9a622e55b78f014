"""Merges the counts of several VMs."""

import itertools
from collections.abc import Iterable
from typing import NamedTuple

from hdrh import histogram

from rattanlug.slo import counts, series, snapshot, windows


class MergedSeries(NamedTuple):
    """Counts of one organisation on one route over all VMs.

    Attributes
    ----------
    organisation, route : str
    windows : dict
        Counts by window length in seconds.
    history : list of counts.Counts
        Newest first; buckets of ``HISTORY_BUCKET_S``.
    latency : histogram.HdrHistogram
        Microseconds.
    """

    organisation: str
    route: str
    windows: dict[int, counts.Counts]
    history: list[counts.Counts]
    latency: histogram.HdrHistogram


def newest_per_vm(snapshots: Iterable[snapshot.Snapshot]) -> list[snapshot.Snapshot]:
    """Return one snapshot of each VM, the one that covers the longest time.

    Several of the queried daemons may return the counts of the same VM.
    """
    result: dict[str, snapshot.Snapshot] = {}
    for each in snapshots:
        longest = result.get(each["vm"])
        if longest is None or each["covered_s"] > longest["covered_s"]:
            result[each["vm"]] = each
    return list(result.values())


def merge(snapshots: Iterable[snapshot.Snapshot]) -> list[MergedSeries]:
    """Add up the counts of several VMs.

    Buckets of the same age are added, although the bucket boundaries of two VMs may
    differ by up to one bucket.

    Raises
    ------
    KeyError, TypeError, ValueError
        When a snapshot does not have the format of ``snapshot.Snapshot``.
    """
    result: dict[tuple[str, str], MergedSeries] = {}
    for each in newest_per_vm(snapshots):
        for entry in each["series"]:
            name = (entry["organisation"], entry["route"])
            merged_series = result.get(name)
            if merged_series is None:
                empty = dict.fromkeys(windows.WINDOW_LENGTHS_S, counts.Counts())
                merged_series = MergedSeries(*name, empty, [], series.new_histogram())
            result[name] = _add_series(merged_series, entry)
    return [result[name] for name in sorted(result)]


def _add_series(merged_series, entry):
    merged_series.latency.decode_and_add(entry["latency"].encode("ascii"))
    history = itertools.zip_longest(
        merged_series.history, entry["history"], fillvalue=counts.Counts()
    )
    return merged_series._replace(
        windows={
            length: value.plus(counts.Counts(*entry["windows"][str(length)]))
            for length, value in merged_series.windows.items()
        },
        history=[left.plus(counts.Counts(*right)) for left, right in history],
    )
