"""The latest digests of the other VMs and data centres."""

from typing import NamedTuple

from rattanlug.fleet import digest, member

# After this time without a digest of a VM, one with a lower incarnation or sequence is
# accepted. The time is longer than a digest may be delayed, and shorter than the
# detection of a silent VM takes.
RESET_SECONDS = 2.5
# A silent VM may be cut off from this VM, but not from the upstreams. It counts as
# possibly running for this time.
SILENT_SECONDS = 300.0


class _Received(NamedTuple):
    report: digest.Digest
    received_at: float


class _Sighting(NamedTuple):
    data_centre: str
    leaving: bool
    seen_at: float


class PeerTable:
    """Keeps the latest digest of each VM and of each data centre.

    The VMs of a data centre send their digests to each other, and one of them, the
    reporter, sends a digest of the data centre to the other data centres. The number
    of messages thereby grows with the VMs per data centre and with the number of data
    centres, and not with all pairs of VMs.

    Parameters
    ----------
    own_vm : str
    own_data_centre : str
    """

    def __init__(self, own_vm: str, own_data_centre: str) -> None:
        self._own_vm = own_vm
        self._own_data_centre = own_data_centre
        self._peers: dict[str, _Received] = {}
        self._data_centres: dict[str, _Received] = {}
        self._sightings: dict[str, _Sighting] = {}

    def record_digest(self, report: digest.Digest, now: float) -> bool:
        """Record a received digest.

        A digest that is older than the latest one of the same VM is dropped, unless
        that one was received more than `RESET_SECONDS` ago: a VM whose system clock
        was set back restarts with a lower incarnation.

        Returns
        -------
        bool
            Whether the VM, or its incarnation, is new. Always False for the digest of a
            data centre.
        """
        if report.vm == self._own_vm:
            return False
        # Digests that are dropped below show that their VM is running, too.
        self._record_sighting(
            report.vm, _Sighting(report.data_centre, report.leaving, now)
        )
        if report.members:
            return self._record_data_centre(report, now)
        return self._record_vm(report, now)

    def record_registration(self, vm: str, data_centre: str, now: float) -> None:
        """Record that a VM is registered in the store."""
        self._record_sighting(vm, _Sighting(data_centre, False, now))

    def possible_vms(self, data_centre: str, leaving_seconds: float, now: float) -> int:
        """Return how many other VMs of a data centre may be running.

        Unlike `recent_digests`, this includes VMs that have been silent for long.

        Parameters
        ----------
        data_centre : str
            An empty string stands for all.
        leaving_seconds : float
            Time within which a VM that is leaving ends.
        now : float
            Time on the VM's monotonic clock, seconds.
        """
        return sum(
            data_centre in ("", each.data_centre)
            and now - each.seen_at
            <= (leaving_seconds if each.leaving else SILENT_SECONDS)
            for each in self._sightings.values()
        )

    def expire(self, before: float) -> None:
        """Remove the digests that were received before a time, seconds."""
        self._peers = _received_since(self._peers, before)
        self._data_centres = _received_since(self._data_centres, before)
        self._sightings = {
            vm: each
            for vm, each in self._sightings.items()
            if each.seen_at >= before - SILENT_SECONDS
        }

    def recent_digests(self, seconds: float, now: float) -> list[digest.Digest]:
        """Return the latest digests of the VMs, sorted by VM.

        The digests of VMs that are known only from the digest of their data centre
        have no demand and no outcomes.

        Parameters
        ----------
        seconds : float
            Maximum age.
        now : float
            Time on the VM's monotonic clock, seconds.
        """
        return [
            each.report
            for _, each in sorted(self._peers.items())
            if now - each.received_at <= seconds
        ]

    def aggregate_digests(self, seconds: float, now: float) -> list[digest.Digest]:
        """Return the digests whose demands and outcomes sum to those of the fleet.

        These are the digests of data centres, and those of single VMs for data centres
        without one. The parameters are those of `recent_digests`.
        """
        data_centres = [
            each.report
            for _, each in sorted(self._data_centres.items())
            if now - each.received_at <= seconds
        ]
        covered = {each.data_centre for each in data_centres}
        return data_centres + [
            each
            for each in self.recent_digests(seconds, now)
            if each.data_centre not in covered
        ]

    def local_members(self, seconds: float, now: float) -> list[member.Member]:
        """Return the other VMs of this VM's data centre, for `digest.Digest.members`.

        The parameters are those of `recent_digests`.
        """
        return [
            member.Member(
                report.vm,
                report.incarnation,
                report.sequence,
                report.host,
                report.port,
                report.leaving,
                report.overloaded,
                # It may have been received after the caller took the time.
                max(0.0, now - received_at),
            )
            for _, (report, received_at) in sorted(self._peers.items())
            if report.data_centre == self._own_data_centre
            and now - received_at <= seconds
        ]

    def _record_sighting(self, vm: str, sighting: _Sighting) -> None:
        current = self._sightings.get(vm)
        if vm != self._own_vm and (
            current is None or current.seen_at <= sighting.seen_at
        ):
            self._sightings[vm] = sighting

    def _record_data_centre(self, report: digest.Digest, now: float) -> bool:
        if report.data_centre == self._own_data_centre:
            return False
        current = self._data_centres.get(report.data_centre)
        if current is not None and current.report.vm == report.vm:
            if not _supersedes(report, current, now):
                return False
        self._data_centres[report.data_centre] = _Received(report, now)
        for each in report.members:
            received_at = now - each.age
            self._record_sighting(
                each.vm, _Sighting(report.data_centre, each.leaving, received_at)
            )
            earlier = self._peers.get(each.vm)
            if earlier is None or earlier.received_at < received_at:
                self._record_vm(_from_member(each, report), received_at)
        return False

    def _record_vm(self, report: digest.Digest, received_at: float) -> bool:
        current = self._peers.get(report.vm)
        if current is not None and not _supersedes(report, current, received_at):
            return False
        self._peers[report.vm] = _Received(report, received_at)
        return current is None or current.report.incarnation != report.incarnation


def _supersedes(report: digest.Digest, current: _Received, now: float) -> bool:
    number = (report.incarnation, report.sequence)
    latest = (current.report.incarnation, current.report.sequence)
    return number > latest or now - current.received_at >= RESET_SECONDS


def _from_member(entry: member.Member, report: digest.Digest) -> digest.Digest:
    return digest.Digest(
        entry.vm,
        entry.incarnation,
        entry.sequence,
        report.data_centre,
        entry.host,
        entry.port,
        entry.leaving,
        report.state_version,
        {},
        (),
        (),
        entry.overloaded,
    )


def _received_since(
    received: dict[str, _Received], before: float
) -> dict[str, _Received]:
    return {name: each for name, each in received.items() if each.received_at >= before}
