"""The VMs that this one has heard of."""

from typing import NamedTuple

from rattanlug.fleet import digest

# Longer than a report may be on its way, shorter than a VM takes to be noticed missing.
SUCCESSION_SECONDS = 2.5


class _Peer(NamedTuple):
    report: digest.Digest
    heard_at: float


class PeerTable:
    """Keeps the last report of each VM.

    Parameters
    ----------
    own_vm : str
    """

    def __init__(self, own_vm: str) -> None:
        self._own_vm = own_vm
        self._peers: dict[str, _Peer] = {}

    def hear(self, report: digest.Digest, now: float) -> bool:
        """Take a report; return whether its VM, or its present start, is new.

        An older report than the last one of the same VM is dropped, unless that one
        was heard some time ago: a VM whose time of day was set back starts again with
        a lower number.
        """
        if report.vm == self._own_vm:
            return False
        known = self._peers.get(report.vm)
        if known is not None:
            order = (report.incarnation, report.sequence)
            last = (known.report.incarnation, known.report.sequence)
            if order <= last and now - known.heard_at < SUCCESSION_SECONDS:
                return False
        self._peers[report.vm] = _Peer(report, now)
        return known is None or known.report.incarnation != report.incarnation

    def forget(self, before: float) -> None:
        """Drop VMs that were last heard before a moment, seconds."""
        kept = {vm: each for vm, each in self._peers.items() if each.heard_at >= before}
        self._peers = kept

    def heard_within(self, seconds: float, now: float) -> list[digest.Digest]:
        """Return the last reports of VMs that were heard lately, by VM."""
        return [
            each.report
            for _, each in sorted(self._peers.items())
            if now - each.heard_at <= seconds
        ]
