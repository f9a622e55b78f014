"""Counts of several VMs together."""

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
    """Return one snapshot of each VM, the one that covers most time.

    Two daemons that were asked may both pass on the counts of a third.
    """
    result: dict[str, snapshot.Snapshot] = {}
    for each in snapshots:
        known = result.get(each["vm"])
        if known is None or each["covered_s"] > known["covered_s"]:
            result[each["vm"]] = each
    return list(result.values())


def merge(snapshots: Iterable[snapshot.Snapshot]) -> list[MergedSeries]:
    """Add up the counts of several VMs.

    Buckets of two VMs that have the same age are added, although their edges may
    differ by up to one bucket.

    Raises
    ------
    KeyError, TypeError, ValueError
        When a snapshot is not of the form of ``snapshot.Snapshot``.
    """
    result: dict[tuple[str, str], MergedSeries] = {}
    for each in newest_per_vm(snapshots):
        for one in each["series"]:
            name = (one["organisation"], one["route"])
            known = result.get(name)
            if known is None:
                empty = dict.fromkeys(windows.WINDOW_LENGTHS_S, counts.Counts())
                known = MergedSeries(*name, empty, [], series.new_histogram())
            result[name] = _plus(known, one)
    return [result[name] for name in sorted(result)]


def _plus(known, one):
    known.latency.decode_and_add(one["latency"].encode("ascii"))
    history = itertools.zip_longest(
        known.history, one["history"], fillvalue=counts.Counts()
    )
    return known._replace(
        windows={
            length: value.plus(counts.Counts(*one["windows"][str(length)]))
            for length, value in known.windows.items()
        },
        history=[mine.plus(counts.Counts(*its)) for mine, its in history],
    )
