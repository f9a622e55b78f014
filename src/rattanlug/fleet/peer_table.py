"""The VMs that this one has heard of."""

from typing import NamedTuple

from rattanlug.fleet import digest, member

# Longer than a report may be on its way, shorter than a VM takes to be noticed missing.
SUCCESSION_SECONDS = 2.5


class _Heard(NamedTuple):
    report: digest.Digest
    heard_at: float


class PeerTable:
    """Keeps the last report of each VM and of each data centre.

    VMs of one data centre report to each other; the first of them reports for all to
    the other data centres. So the messages grow with the VMs of a data centre and with
    the number of data centres, not with all pairs of VMs.

    Parameters
    ----------
    own_vm : str
    own_centre : str
        Data centre of this VM.
    """

    def __init__(self, own_vm: str, own_centre: str) -> None:
        self._own_vm = own_vm
        self._own_centre = own_centre
        self._peers: dict[str, _Heard] = {}
        self._centres: dict[str, _Heard] = {}

    def record_digest(self, report: digest.Digest, now: float) -> bool:
        """Take a report; return whether its VM, or its present start, is new.

        An older report than the last one of the same VM is dropped, unless that one
        was heard some time ago: a VM whose time of day was set back starts again with
        a lower number.
        """
        if report.vm == self._own_vm:
            return False
        if report.members:
            return self._hear_centre(report, now)
        return self._hear_vm(report, now)

    def expire(self, before: float) -> None:
        """Drop what was last heard before a moment, seconds."""
        self._peers = _since(self._peers, before)
        self._centres = _since(self._centres, before)

    def recent_digests(self, seconds: float, now: float) -> list[digest.Digest]:
        """Return the last reports of VMs that were heard lately, by VM.

        Those of VMs that only their data centre reported have no demand and no
        outcomes.
        """
        return [
            each.report
            for _, each in sorted(self._peers.items())
            if now - each.heard_at <= seconds
        ]

    def aggregate_digests(self, seconds: float, now: float) -> list[digest.Digest]:
        """Return the reports whose demands and outcomes add up to the whole."""
        centres = [
            each.report
            for _, each in sorted(self._centres.items())
            if now - each.heard_at <= seconds
        ]
        reported = {each.data_centre for each in centres}
        return centres + [
            each
            for each in self.recent_digests(seconds, now)
            if each.data_centre not in reported
        ]

    def local_members(self, seconds: float, now: float) -> list[member.Member]:
        """Return the VMs of the own data centre that were heard lately."""
        return [
            member.Member(
                report.vm,
                report.incarnation,
                report.sequence,
                report.host,
                report.port,
                report.leaving,
                report.overloaded,
                now - heard_at,
            )
            for _, (report, heard_at) in sorted(self._peers.items())
            if report.data_centre == self._own_centre and now - heard_at <= seconds
        ]

    def _hear_centre(self, report: digest.Digest, now: float) -> bool:
        if report.data_centre == self._own_centre:
            return False
        known = self._centres.get(report.data_centre)
        if known is not None and known.report.vm == report.vm:
            if not _follows(report, known, now):
                return False
        self._centres[report.data_centre] = _Heard(report, now)
        for each in report.members:
            heard_at = now - each.age
            earlier = self._peers.get(each.vm)
            if earlier is None or earlier.heard_at < heard_at:
                self._hear_vm(_from_member(each, report), heard_at)
        return False

    def _hear_vm(self, report: digest.Digest, heard_at: float) -> bool:
        known = self._peers.get(report.vm)
        if known is not None and not _follows(report, known, heard_at):
            return False
        self._peers[report.vm] = _Heard(report, heard_at)
        return known is None or known.report.incarnation != report.incarnation


def _follows(report: digest.Digest, known: _Heard, now: float) -> bool:
    order = (report.incarnation, report.sequence)
    last = (known.report.incarnation, known.report.sequence)
    return order > last or now - known.heard_at >= SUCCESSION_SECONDS


def _from_member(found: member.Member, report: digest.Digest) -> digest.Digest:
    return digest.Digest(
        found.vm,
        found.incarnation,
        found.sequence,
        report.data_centre,
        found.host,
        found.port,
        found.leaving,
        report.state_version,
        {},
        (),
        (),
        found.overloaded,
    )


def _since(heard: dict[str, _Heard], before: float) -> dict[str, _Heard]:
    return {name: each for name, each in heard.items() if each.heard_at >= before}
