"""Exchange of reports between the entry VMs."""

import json
import socket

import trio

from rattanlug.daemon import clock
from rattanlug.fleet import digest, digest_codec
from rattanlug.gateway import node as node_module
from rattanlug.gateway import store_reader
from rattanlug.logs import state_log
from rattanlug.platform import store_error, store_write

# Reports a second decide how soon a dead VM is noticed and shares of rates follow.
REPORT_SECONDS = 1.0
# While a version is on trial, the evidence of all VMs has to come together sooner.
TRIAL_REPORT_SECONDS = 0.5
# VMs of the own data centre, and all of data centres that are silent, get a report in
# each n-th round.
SILENT_ROUNDS = 5
# A starting VM has heard those of its own data centre by then, so that only one of
# them reports for all, seconds.
INTRODUCTION_SECONDS = 0.2
# Rounds in which a starting VM also reports to its seeds.
SEED_ROUNDS = 10
# A VM that was not heard for this time is forgotten.
FORGET_SECONDS = 60.0
# Reports that are taken before other tasks have their turn.
REPORTS_PER_TURN = 256
_MAX_REPORT_BYTES = 65536
TABLE = "rattanlug-vms"
RETRY_SECONDS = 1.0


class Peers:
    """Sends this VM's reports and receives those of the others.

    Parameters
    ----------
    node : node.Node
    """

    def __init__(self, node: node_module.Node) -> None:
        self._node = node
        self._port = node.settings.peer_ports[0]
        self._socket: trio.socket.SocketType | None = None
        # Hosts by VM, by data centre.
        self._addresses: dict[str, dict[str, str]] = {}
        self._round = 0
        self._live: set[str] = set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Receive and send until cancelled."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as own:
            own.bind((self._node.settings.host, self._port))
            self._socket = trio.socket.from_stdlib_socket(own)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, own)
                nursery.start_soon(self._register)
                task_status.started()
                await self._report_regularly()

    async def report(self) -> None:
        """Send a report to the VMs that need it now."""
        node, now = self._node, clock.now()
        own = node.own_digest(now)
        data = digest_codec.encode(own)
        for host in self._targets(now):
            await self._send(data, host)
        await self._report_centre(own, now)

    async def _report_centre(
        self, own: digest.Digest, now: float, to_silent: bool = False
    ) -> None:
        """Report for the data centre, if this VM is the one to do so."""
        report = self._node.centre_digest(own, now)
        if report is not None:
            data = digest_codec.encode(report)
            for host in self._centre_targets(now, to_silent):
                await self._send(data, host)

    async def leave(self) -> None:
        """Tell the other VMs of a stop, and remove this VM's address from the store.

        A VM that is replaced never registers again; its row would stay for good.
        """
        await self.report()
        row = store_write.StoreWrite(TABLE, self._node.settings.vm, None, None)
        try:
            await self._node.store.commit([row])
        except store_error.StoreError as exc:
            state_log.log_change("address", "registered", "kept", reason=str(exc))

    def note_membership(self, now: float) -> None:
        """Write a line for each VM that is believed alive now and was not, or was."""
        live = {each.vm: each for each in self._node.live_vms(now)[1:]}
        for vm in sorted(live.keys() - self._live):
            centre = live[vm].data_centre
            state_log.log_change("peer", None, "alive", peer=vm, data_centre=centre)
        for vm in sorted(self._live - live.keys()):
            state_log.log_change("peer", "alive", "silent", peer=vm)
        self._live = set(live)

    async def _report_regularly(self) -> None:
        node = self._node
        while True:
            now = clock.now()
            node.peers.expire(now - FORGET_SECONDS)
            self.note_membership(now)
            await self.report()
            store_reader.share_rates(node, now)
            self._round += 1
            on_trial = any(
                node.versions.is_canary(service, order.target)
                for service, order in node.versions.orders.items()
            )
            await trio.sleep(TRIAL_REPORT_SECONDS if on_trial else REPORT_SECONDS)

    def _targets(self, now: float) -> set[str]:
        """Return the VMs of the own data centre, and those that need single reports."""
        node = self._node
        centre = node.settings.data_centre
        targets = {
            each.host
            for each in node.peers.recent_digests(FORGET_SECONDS, now)
            if each.data_centre == centre or not each.accepts_data_centre_digests
        }
        if self._round % SILENT_ROUNDS == 0:
            targets.update(self._addresses.get(centre, {}).values())
        if self._round < SEED_ROUNDS:
            targets.update(node.settings.seed_hosts)
        return targets - {node.settings.host}

    def _centre_targets(self, now: float, to_silent: bool) -> set[str]:
        """Return a live VM of each other data centre, and all of silent ones."""
        node, targets = self._node, {}
        heard = node.peers.recent_digests(node_module.LEADER_SECONDS, now)
        for each in heard:
            if not each.leaving:
                targets.setdefault(each.data_centre, {each.host})
        if self._round % SILENT_ROUNDS == 0 or to_silent:
            for each in node.peers.recent_digests(FORGET_SECONDS, now):
                self._addresses.setdefault(each.data_centre, {})[each.vm] = each.host
            for centre, vms in self._addresses.items():
                targets.setdefault(centre, set(vms.values()))
        targets.pop(node.settings.data_centre, None)
        return set().union(*targets.values())

    async def _receive(self, own: socket.socket) -> None:
        """Take all reports that wait, so that none grows old in the socket."""
        node, taken = self._node, 0
        arrived_at = node.busy.earliest_ready_at
        while True:
            try:
                data = own.recv(_MAX_REPORT_BYTES)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(own)
                arrived_at = node.busy.earliest_ready_at
                continue
            except OSError:
                # A port that is closed at the other side shows up here.
                node.counters.add("peer_socket_errors")
            else:
                await self._take_report(data, arrived_at)
            taken += 1
            if taken % REPORTS_PER_TURN == 0:
                await trio.lowlevel.checkpoint()

    async def _take_report(self, data: bytes, arrived_at: float) -> None:
        node = self._node
        try:
            report, passed_on = digest_codec.decode(data)
        except digest_codec.UnreadableDigestError:
            node.counters.add("peer_reports_unreadable")
            return
        is_new = node.peers.record_digest(report, arrived_at)
        if report.members:
            now = clock.now()
            # The sender counts a rise of its demand from now on.
            store_reader.share_rates(node, now)
            if not passed_on:
                await self._pass_on(report, now)
        for order in report.reverted:
            if node.versions.revert(order):
                state_log.log_change("order", "running", "reverted", order=order)
        if is_new:
            await self._introduce(report, passed_on)

    async def _pass_on(self, report: digest.Digest, now: float) -> None:
        """Send the report of another data centre to the VMs of this one."""
        centre = self._node.settings.data_centre
        data = digest_codec.encode(report, passed_on=True)
        for each in self._node.peers.recent_digests(FORGET_SECONDS, now):
            if each.data_centre == centre:
                await self._send(data, each.host)

    async def _introduce(self, report: digest.Digest, passed_on: bool) -> None:
        """Answer a VM that is new here, and tell the others of it once."""
        now = clock.now()
        own = digest_codec.encode(self._node.own_digest(now))
        await self._send(own, report.host)
        if passed_on:
            return
        data = digest_codec.encode(report, passed_on=True)
        targets = self._targets(now)
        # The VMs of its data centre may not have heard of a VM that starts.
        targets |= {
            each.host
            for each in self._node.peers.recent_digests(FORGET_SECONDS, now)
            if each.data_centre == report.data_centre
        }
        for host in targets - {report.host}:
            await self._send(data, host)

    async def _send(self, data: bytes, host: str) -> None:
        try:
            await self._socket.sendto(data, (host, self._port))
            self._node.counters.add("peer_report_bytes", len(data))
        except OSError:
            self._node.counters.add("peer_socket_errors")

    async def _register(self) -> None:
        """Write this VM's address into the store, and read those of the others."""
        node = self._node
        settings = node.settings
        value = {"host": settings.host, "data_centre": settings.data_centre}
        write = store_write.StoreWrite(
            TABLE, settings.vm, json.dumps(value).encode(), None
        )
        while True:
            try:
                await node.store.commit([write])
                read = await node.store.read_table(TABLE)
            except store_error.StoreError:
                await trio.sleep(RETRY_SECONDS * (1.0 + node.rng.random()))
                continue
            break
        for row in read.rows:
            self._take_row(row.key, row.value)
        data = digest_codec.encode(node.own_digest(clock.now()))
        own_centre = self._addresses.get(settings.data_centre, {})
        for host in set(own_centre.values()) - {settings.host}:
            await self._send(data, host)
        await trio.sleep(INTRODUCTION_SECONDS)
        now = clock.now()
        await self._report_centre(node.own_digest(now), now, to_silent=True)

    def _take_row(self, vm: str, data: bytes) -> None:
        try:
            found = json.loads(data)
            host, data_centre = str(found["host"]), str(found["data_centre"])
        except (KeyError, TypeError, ValueError):
            self._node.counters.add("vm_rows_unreadable")
            return
        self._addresses.setdefault(data_centre, {})[vm] = host
        self._node.note_registered_vm(data_centre, vm)
