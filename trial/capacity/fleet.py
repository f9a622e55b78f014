"""Fleet of membership views that exchange gossip in virtual time."""

import heapq
import itertools
import random
import time
from typing import NamedTuple

from rattanlug.configuration import delta
from rattanlug.membership import member, member_state, update, view
from rattanlug.peer import codec, data_centre_ages, framing, gossip_exchange
from rattanlug.peer.generated import ttypes

ROUND_S = 0.5
_CALL_TIMEOUT_S = 0.4
#: One-way latencies: half of the round trips of nool, the slower of the deployments.
_LATENCY_FAR_S = 0.0275
_LATENCY_NEAR_S = 0.00075
#: TCP/IPv4 header with timestamps, one segment for each message. An estimate: the
#: virtual network has no packets, and responses carry the acknowledgements.
SEGMENT_HEADER_BYTES = 52


class Traffic(NamedTuple):
    """Mean traffic and processor time of one daemon.

    Attributes
    ----------
    bytes_s : float
        Frames, both directions, without TCP and IP headers.
    messages_s : float
        Both directions.
    cpu : float
        Share of one core.
    """

    bytes_s: float
    messages_s: float
    cpu: float

    @property
    def wire_bytes_s(self) -> float:
        """Bytes per second including the estimated headers."""
        return self.bytes_s + self.messages_s * SEGMENT_HEADER_BYTES


class Fleet:
    """Membership views that exchange messages through the real codec, without sockets.

    Parameters
    ----------
    vms, data_centres : int
        Size; VMs are spread evenly.
    loss : float
        Probability that a message, request or response, is lost.
    seed : int
    use_codec : bool
        Whether messages are encoded; if not, only the decision code runs.
    """

    def __init__(self, vms, data_centres, loss=0.0, seed=1, use_codec=True):
        self.now = 0.0
        self._rng = random.Random(seed)
        self._loss = loss
        self._use_codec = use_codec
        self._events = []
        self._order = itertools.count()
        self.data_centres = [
            f"region{i // 2:02d}-{i % 2 + 1}" for i in range(data_centres)
        ]
        self.records = {
            record.vm: record
            for record in (self._make_member(i, data_centres) for i in range(vms))
        }
        self._by_address = {r.peer_address: vm for vm, r in self.records.items()}
        self.views = {}
        self.exchanges = {}
        self.stopped = set()
        self._fetching = set()
        self._started = set()
        self._bytes = self._messages = 0
        self._cpu_s = 0.0
        self._encoded_responses = 0
        # By VM and data centre, the time of the newest state that the VM has.
        self._newest_state_at = {
            vm: dict.fromkeys(self.data_centres, 0.0) for vm in self.records
        }
        updates = [
            update.Update(r.vm, r.incarnation, 0.0, record=r)
            for r in self.records.values()
        ]
        for vm in self.records:
            self.start(vm, updates)

    def _make_member(self, index, data_centres):
        data_centre = self.data_centres[index % data_centres]
        host = f"10.{index >> 16 & 255}.{index >> 8 & 255}.{index & 255}"
        return member.Member(
            f"entry-{index:04d}.{data_centre}",
            data_centre,
            (host, 8080),
            (host, 8081),
            1_790_000_000_000 + index,
            member_state.MemberState.SERVING,
            protocol_version=1,
        )

    def start(self, vm, updates=()):
        """Start a daemon whose view contains the members in ``updates``."""
        members = view.MembershipView(self.records[vm], self.now)
        members.merge(updates, self.now, bootstrap=True)
        if updates:
            members.take_updates(self.now, view.MAX_UPDATES)
            while members.pending_updates:
                members.take_updates(self.now, view.MAX_UPDATES)
        members.set_bootstrap_addresses(
            [next(iter(self.records.values())).peer_address]
        )
        self.views[vm] = members
        self.exchanges[vm] = gossip_exchange.GossipExchange(members, self._rng)
        if vm not in self._started:
            self._started.add(vm)
            self._schedule(self._rng.uniform(0, ROUND_S), self._run_round, vm)

    def restart(self, vm):
        """Restart a daemon with a higher incarnation; it fetches the members."""
        old = self.records[vm]
        self.records[vm] = old._replace(incarnation=old.incarnation + 1)
        peer = next(name for name in self.views if name != vm)
        member_page = self.exchanges[peer].make_page(ttypes.FetchMembers(""), self.now)
        self.start(vm, ())
        self.exchanges[vm].merge_page(member_page, self.now)

    def run(self, seconds, until=None):
        """Advance the clock by ``seconds``, or less if ``until()`` becomes true."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
            if until is not None and until():
                return True
        self.now = end
        return until is not None and until()

    def ages(self, vm):
        """Return the information age of each data centre at a VM, seconds."""
        ages = {name: self.now - at for name, at in self._newest_state_at[vm].items()}
        ages[self.records[vm].data_centre] = 0.0
        return ages

    def measure(self, seconds):
        """Advance the clock and return the mean traffic of one daemon."""
        self._bytes = self._messages = 0
        self._cpu_s = 0.0
        self.run(seconds)
        total = seconds * (len(self.views) - len(self.stopped))
        # Each frame is counted where it is sent and where it is received.
        return Traffic(
            2 * self._bytes / total, 2 * self._messages / total, self._cpu_s / total
        )

    def _schedule(self, delay, action, *args):
        heapq.heappush(
            self._events, (self.now + delay, next(self._order), action, args)
        )

    def _latency(self, vm, peer):
        if self.records[vm].data_centre[:-1] == self.records[peer].data_centre[:-1]:
            return _LATENCY_NEAR_S
        return _LATENCY_FAR_S

    def _run_round(self, vm):
        if vm in self.stopped:
            return
        self._schedule(ROUND_S, self._run_round, vm)
        started = time.process_time()
        chosen_peers = self.views[vm].next_peers(self.now, self._rng)
        self._cpu_s += time.process_time() - started
        for chosen_peer in chosen_peers:
            self._send_request(vm, self._by_address[chosen_peer.peer_address])

    def _send_request(self, vm, peer):
        started = time.process_time()
        message = self.exchanges[vm].make_request(peer, self.now)
        data = self._encode(vm, message)
        self._cpu_s += time.process_time() - started
        if self._rng.random() < self._loss:
            self._schedule(_CALL_TIMEOUT_S, self._record_failure, vm, peer, self.now)
        else:
            self._schedule(
                self._latency(vm, peer), self._handle_request, vm, peer, data, self.now
            )

    def _handle_request(self, vm, peer, data, requested_at):
        if peer in self.stopped:
            self._schedule(
                _CALL_TIMEOUT_S, self._record_failure, vm, peer, requested_at
            )
            return
        started = time.process_time()
        message = self._decode(data, peer, vm)
        response = self.exchanges[peer].handle_request(message, vm, self.now)
        encoded_response = self._encode(peer, response, is_response=True)
        self._cpu_s += time.process_time() - started
        self._record_version(peer, message.config_version)
        if self._rng.random() < self._loss:
            self._schedule(
                _CALL_TIMEOUT_S, self._record_failure, vm, peer, requested_at
            )
        else:
            delay = self._latency(vm, peer)
            self._schedule(
                delay, self._receive_response, vm, peer, encoded_response, requested_at
            )

    def _receive_response(self, vm, peer, data, requested_at):
        if vm in self.stopped:
            return
        started = time.process_time()
        message = self._decode(data, vm, peer, requested_at)
        self.exchanges[vm].handle_response(message, peer, requested_at, self.now)
        self._cpu_s += time.process_time() - started
        self._record_version(vm, message.config_version)

    def _record_failure(self, vm, peer, requested_at):
        if vm not in self.stopped:
            self.views[vm].contact_failed(peer, requested_at, self.now)

    def _record_version(self, vm, version):
        if version <= self.views[vm].own.config_version or vm in self._fetching:
            return
        self._fetching.add(vm)
        self._count_message(ttypes.FetchConfiguration(version - 1, "0" * 64), vm)
        text = delta.make_delta("a\n" * 40, "a\n" * 39 + "b\n", version - 1).text
        config_delta = ttypes.ConfigurationDelta(version - 1, version, "0" * 64, text)
        self._count_message(
            ttypes.ConfigurationData(version, "0" * 64, deltas=[config_delta]), vm
        )
        self._schedule(2 * _LATENCY_FAR_S, self._apply, vm, version)

    def _apply(self, vm, version):
        self._fetching.discard(vm)
        if version > self.views[vm].own.config_version:
            self.views[vm].set_own(self.now, config_version=version)

    def _count_message(self, message, vm):
        self._messages += 1
        if self._use_codec:
            self._bytes += len(framing.frame(codec.encode(1, vm, message)))

    def _encode(self, vm, message, is_response=False):
        self._messages += 1
        if not self._use_codec:
            return message
        if isinstance(message, ttypes.Gossip):
            if is_response:
                ages = self.ages(vm)
                self._encoded_responses += 1
                data_centre_ages.encode_ages(
                    message, ages, self.data_centres, turn=self._encoded_responses
                )
            else:
                digest = data_centre_ages.names_digest(self.data_centres)
                message.data_centres_digest = digest
            message.evidence_age_ms = 700
            message.evidence_version = message.config_version
            message.load = 250
        data = framing.frame(codec.encode(123_456, vm, message))
        self._bytes += len(data)
        return data

    def _decode(self, data, vm, sender, requested_at=None):
        if not self._use_codec:
            return data
        message = codec.decode(data[4:]).message
        if requested_at is None:
            # The transit time of a request is unknown, so its ages give no upper bound.
            return message
        ages = data_centre_ages.decode_ages(message, self.data_centres)
        ages[self.records[sender].data_centre] = 0.0
        newest_state_at = self._newest_state_at[vm]
        for data_centre, age in ages.items():
            newest_state_at[data_centre] = max(
                newest_state_at[data_centre], requested_at - age
            )
        return message
