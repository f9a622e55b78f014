"""Exchange of digests between the VMs, as UDP datagrams.

A digest is a short summary of a VM's state, such as its address and its demand. One VM
of each data centre, the reporter, also sends a digest of the whole data centre to the
other data centres.
"""

import functools
import json
import socket

import trio

from rattanlug.caller import local_endpoint
from rattanlug.daemon import background_tasks, clock, socket_close
from rattanlug.encoding import json_text
from rattanlug.fleet import digest, digest_codec
from rattanlug.gateway import node as node_module
from rattanlug.gateway import store_reader
from rattanlug.logs import state_log
from rattanlug.platform import store_error, store_write
from rattanlug.settings import address

# Determines how soon a failed VM is noticed and how fast rate shares adapt.
DIGEST_INTERVAL_SECONDS = 1.0
# During a rollout, the outcomes counted by all VMs must be combined sooner.
CANARY_DIGEST_INTERVAL_SECONDS = 0.5
# Interval, in rounds, at which digests also go to all registered VMs of this data
# centre, and the data centre's digest to all VMs of silent data centres.
SILENT_ROUND_INTERVAL = 5
# Wait after which a starting VM has received the digests of its data centre, so that
# only one VM acts as the reporter.
INTRODUCTION_WAIT_SECONDS = 0.2
# Rounds in which a starting VM also sends its digest to its seeds.
SEED_ROUNDS = 10
# VMs that have been silent for longer are dropped.
EXPIRY_SECONDS = 60.0
# Datagrams handled before other tasks may run.
MAX_DATAGRAMS_PER_ITERATION = 256
_MAX_DATAGRAM_BYTES = 65536
# Table of the store with the addresses of the VMs.
TABLE = "rattanlug-vms"
RETRY_BACKOFF_SECONDS = 1.0


def _open_socket(local: address.Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind((local.host, local.port))
    except BaseException:
        socket_close.close(sock)
        raise
    return sock


class DigestExchange:
    """Sends this VM's digests and receives those of the others.

    Parameters
    ----------
    node : node.Node
    """

    def __init__(self, node: node_module.Node) -> None:
        self._node = node
        self._port = node.settings.peer_ports[0]
        self._socket: trio.socket.SocketType | None = None
        # Hosts, by data centre and VM.
        self._addresses: dict[str, dict[str, str]] = {}
        # Version of this VM's row in the store; None until it is known.
        self._registered_version: int | None = None
        self._rounds = 0
        self._logged_live_vms: set[str] = set()

    async def open(self) -> socket.socket:
        """Open the socket for `run`; wait while its address is not available.

        Raises
        ------
        OSError
        """
        local = address.Address(self._node.settings.host, self._port)
        return await local_endpoint.open_when_available(
            functools.partial(_open_socket, local), local
        )

    async def run(
        self, opened: socket.socket, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Receive and send until cancelled."""
        self._socket = trio.socket.from_stdlib_socket(opened)
        tasks = {
            "digest_receiver": functools.partial(self._receive, opened),
            "registration": self._register,
            "digest_sender": self._send_periodically,
        }
        try:
            async with trio.open_nursery() as nursery:
                for name, task in tasks.items():
                    nursery.start_soon(
                        background_tasks.keep_running, name, task, self._node.counters
                    )
                task_status.started()
        finally:
            socket_close.close(opened)

    async def send_digest(self) -> None:
        """Send a digest to all VMs that need one in this round."""
        node, now = self._node, clock.now()
        own = node.make_digest(now)
        data = digest_codec.encode(own)
        for host in self._targets(now):
            await self._send(data, host)
        await self._send_data_centre_digest(own, now)

    async def _send_data_centre_digest(
        self, own: digest.Digest, now: float, to_silent: bool = False
    ) -> None:
        """Send the data centre's digest if this VM is the reporter."""
        data_centre_digest = self._node.make_data_centre_digest(own, now)
        if data_centre_digest is not None:
            data = digest_codec.encode(data_centre_digest)
            for host in self._data_centre_targets(now, to_silent):
                await self._send(data, host)

    async def leave(self) -> None:
        """Announce the shutdown and remove this VM's address from the store.

        A VM that is replaced never registers again, so its row would never be removed.
        The store may perform the removal late, when the next process has registered.
        """
        await self.send_digest()
        row = store_write.StoreWrite(
            TABLE, self._node.settings.vm, None, self._registered_version
        )
        try:
            await self._node.store.commit([row])
        except (store_error.StoreError, store_error.ConditionFailedError) as exc:
            state_log.log_change("address", "registered", "kept", reason=str(exc))

    def log_membership_changes(self, now: float) -> None:
        """Log each VM that has become alive or silent since the previous call."""
        live = {each.vm: each for each in self._node.live_vms(now)[1:]}
        for vm in sorted(live.keys() - self._logged_live_vms):
            data_centre = live[vm].data_centre
            state_log.log_change(
                "peer", None, "alive", peer=vm, data_centre=data_centre
            )
        for vm in sorted(self._logged_live_vms - live.keys()):
            state_log.log_change("peer", "alive", "silent", peer=vm)
        self._logged_live_vms = set(live)

    async def _send_periodically(self) -> None:
        node = self._node
        while True:
            now = clock.now()
            node.peers.expire(now - EXPIRY_SECONDS)
            self.log_membership_changes(now)
            await self.send_digest()
            store_reader.update_rate_shares(node, now)
            self._rounds += 1
            has_canary = any(
                node.versions.is_canary(service, order.target)
                for service, order in node.versions.orders.items()
            )
            await trio.sleep(
                CANARY_DIGEST_INTERVAL_SECONDS
                if has_canary
                else DIGEST_INTERVAL_SECONDS
            )

    def _targets(self, now: float) -> set[str]:
        """Return the hosts that receive this VM's own digest in this round."""
        node = self._node
        data_centre = node.settings.data_centre
        targets = {
            each.host
            for each in node.peers.recent_digests(EXPIRY_SECONDS, now)
            if each.data_centre == data_centre or not each.accepts_data_centre_digests
        }
        if self._rounds % SILENT_ROUND_INTERVAL == 0:
            targets.update(self._addresses.get(data_centre, {}).values())
        if self._rounds < SEED_ROUNDS:
            targets.update(node.settings.seed_hosts)
        return targets - {node.settings.host}

    def _data_centre_targets(self, now: float, to_silent: bool) -> set[str]:
        """Return the host of one live VM of each other data centre.

        Of a data centre without a live VM, all known hosts are returned instead, in
        every `SILENT_ROUND_INTERVAL`-th round or if ``to_silent`` is set.
        """
        node, targets = self._node, {}
        recent = node.peers.recent_digests(
            node_module.REPORTER_MAX_SILENCE_SECONDS, now
        )
        for each in recent:
            if not each.leaving:
                targets.setdefault(each.data_centre, {each.host})
        if self._rounds % SILENT_ROUND_INTERVAL == 0 or to_silent:
            for each in node.peers.recent_digests(EXPIRY_SECONDS, now):
                self._addresses.setdefault(each.data_centre, {})[each.vm] = each.host
            for data_centre, vms in self._addresses.items():
                targets.setdefault(data_centre, set(vms.values()))
        targets.pop(node.settings.data_centre, None)
        return set().union(*targets.values())

    async def _receive(self, sock: socket.socket) -> None:
        """Receive all queued datagrams, so that none ages in the socket buffer."""
        node, handled = self._node, 0
        arrived_at = node.utilisation.earliest_ready_at
        while True:
            try:
                data = sock.recv(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(sock)
                arrived_at = node.utilisation.earliest_ready_at
                continue
            except OSError:
                # Raised when an earlier datagram was sent to a closed port.
                node.counters.add("peer_socket_errors")
            else:
                await self._handle_datagram(data, arrived_at)
            handled += 1
            if handled % MAX_DATAGRAMS_PER_ITERATION == 0:
                await trio.lowlevel.checkpoint()

    async def _handle_datagram(self, data: bytes, arrived_at: float) -> None:
        node = self._node
        try:
            received, forwarded = digest_codec.decode(data)
        except digest_codec.UnreadableDigestError:
            node.counters.add("peer_reports_unreadable")
            return
        is_new = node.peers.record_digest(received, arrived_at)
        if received.members:
            now = clock.now()
            # Recomputed now, because the sender already counts an increase of its
            # demand in its own share.
            store_reader.update_rate_shares(node, now)
            if not forwarded:
                await self._forward(received, now)
        for order in received.reverted:
            if node.versions.revert(order, received.store_era or None):
                state_log.log_change("order", "running", "reverted", order=order)
        if is_new:
            await self._introduce(received, forwarded)

    async def _forward(self, received: digest.Digest, now: float) -> None:
        """Forward the digest of another data centre to the VMs of this one."""
        data_centre = self._node.settings.data_centre
        data = digest_codec.encode(received, passed_on=True)
        for each in self._node.peers.recent_digests(EXPIRY_SECONDS, now):
            if each.data_centre == data_centre:
                await self._send(data, each.host)

    async def _introduce(self, received: digest.Digest, forwarded: bool) -> None:
        """Send this VM's digest to a newly seen VM, and forward the received one."""
        now = clock.now()
        own = digest_codec.encode(self._node.make_digest(now))
        await self._send(own, received.host)
        if forwarded:
            return
        data = digest_codec.encode(received, passed_on=True)
        targets = self._targets(now)
        # The other VMs of its data centre may not know a VM that is starting.
        targets |= {
            each.host
            for each in self._node.peers.recent_digests(EXPIRY_SECONDS, now)
            if each.data_centre == received.data_centre
        }
        for host in targets - {received.host}:
            await self._send(data, host)

    async def _send(self, data: bytes, host: str) -> None:
        try:
            await self._socket.sendto(data, (host, self._port))
            self._node.counters.add("peer_report_bytes", len(data))
        except OSError:
            self._node.counters.add("peer_socket_errors")

    async def _register(self) -> None:
        """Write this VM's address to the store and read the other VMs' addresses."""
        node = self._node
        settings = node.settings
        value = {"host": settings.host, "data_centre": settings.data_centre}
        write = store_write.StoreWrite(
            TABLE, settings.vm, json.dumps(value).encode(), None
        )
        while True:
            is_registered = await self._try_to_register(write)
            if await self._try_to_read_vms() and is_registered:
                break
            await trio.sleep(RETRY_BACKOFF_SECONDS * (1.0 + node.rng.random()))
        data = digest_codec.encode(node.make_digest(clock.now()))
        local_hosts = self._addresses.get(settings.data_centre, {})
        for host in set(local_hosts.values()) - {settings.host}:
            await self._send(data, host)
        await trio.sleep(INTRODUCTION_WAIT_SECONDS)
        now = clock.now()
        await self._send_data_centre_digest(node.make_digest(now), now, to_silent=True)

    async def _try_to_register(self, write: store_write.StoreWrite) -> bool:
        try:
            await self._node.store.commit([write])
        except store_error.StoreError:
            return False
        return True

    async def _try_to_read_vms(self) -> bool:
        """Read the addresses of the VMs, which share the limits of cold upstreams."""
        try:
            read = await self._node.store.read_table(TABLE)
        except store_error.StoreError:
            return False
        settings = self._node.settings
        self._node.record_registered_vm(settings.data_centre, settings.vm)
        for row in read.rows:
            if row.key == settings.vm:
                self._registered_version = row.version
            self._record_row(row.key, row.value)
        return True

    def _record_row(self, vm: str, data: bytes) -> None:
        try:
            found = json_text.decode(data)
            host, data_centre = str(found["host"]), str(found["data_centre"])
            host = address.parse_host(host)
        except (KeyError, TypeError, ValueError) as exc:
            self._node.counters.add("vm_rows_unreadable")
            state_log.log_change(
                "address", None, "unreadable", peer=vm, reason=str(exc)
            )
            return
        self._addresses.setdefault(data_centre, {})[vm] = host
        self._node.record_registered_vm(data_centre, vm)
