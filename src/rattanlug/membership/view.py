"""Membership of the fleet, as one VM knows it."""

import collections
import heapq
import itertools
import math
import random
import zlib
from collections.abc import Iterable, Sequence

from rattanlug.membership import (
    dissemination,
    member,
    member_state,
    member_table,
    peer_choice,
    update,
)

DEAD_AFTER_S = 3.0
MAX_UPDATES = 10
#: Random VMs of the own data centre that are contacted in each round.
OWN_PEERS = 3
_CONTACTS_PER_DATA_CENTRE = 2
#: Failed contacts until a member is suspect. A single one is often a lost packet, and
#: suspicions are sent to all members, so their rate must grow neither with the rate of
#: lost packets nor with the number of members: with 2% of calls lost and a limit of
#: three failures, 4,900 members would see one false suspicion every 3 s.
_FAILURES_UNTIL_SUSPECT = 3
_FAILURES_IN_LARGE_FLEET = 4
_LARGE_FLEET_MEMBERS = 300
#: Added to the age of a relayed contact, since the receiver can't measure the transit
#: time of the message. An age must never be understated: an old contact would then
#: clear a newer suspicion.
_MAX_TRANSIT_S = 0.1
#: A suspicion is accepted if the last known contact is up to this much later than the
#: failed contact. Both times are relayed by several VMs; a VM that relied on its own
#: time alone would consider a dead member live after all others had stopped contacting
#: it.
_SUSPICION_MARGIN_S = 0.5
#: Dead members are kept this long, so that updates sent before the death are recognised
#: as old.
FORGET_AFTER_S = 3600.0
#: If there is more time between two calls, this VM was paused.
_PAUSE_DETECTION_S = 1.5
#: Dead members are contacted at this interval; otherwise two parts of a fleet that have
#: declared each other dead would never rejoin.
_DEAD_CONTACT_INTERVAL_S = 5.0
_BOOTSTRAP_INTERVAL_S = 2.0
_ADDRESSES_PER_ROUND = 32
_FORGET_INTERVAL_S = 60.0
#: A peer whose whole table differs gets the changes of this time again. As each change
#: is sent a limited number of times, it occasionally doesn't reach some VM.
_RECENT_CHANGES_S = 10.0


class MembershipView:
    """Merges membership updates and chooses the peers to contact.

    A member is dead if contacts to it have failed and no VM has had contact with it for
    ``DEAD_AFTER_S`` since the first failure. Only changes are sent, so that the traffic
    does not depend on the number of members. Digests of the table and of its parts, the
    buckets of ``member_table``, reveal changes that were missed.

    Parameters
    ----------
    own : member.Member
        Record of this VM.
    now : float
    """

    def __init__(self, own: member.Member, now: float):
        self._own_vm = own.vm
        self._table = member_table.MemberTable()
        self._newest_own_incarnation = own.incarnation
        self._dissemination = dissemination.Dissemination()
        self._changed_at: dict[str, float] = {}
        # Number of failed contacts and time of the first, by member.
        self._failures: dict[str, tuple[int, float]] = {}
        self._suspects: set[str] = set()
        self._bootstrap_addresses: collections.deque[tuple[str, int]] = (
            collections.deque()
        )
        self._next_bootstrap_at = now
        self._remaining_data_centres: list[str] = []
        self._bucket = member_table.bucket_of(own.vm)
        self._compare_whole = False
        self._last_call_at = now
        self._next_dead_contact_at = now
        self._next_forget_at = now
        self._put_changed(own._replace(last_heard=now, last_contact=now))

    @property
    def own(self) -> member.Member:
        """Record of this VM."""
        return self._table.get(self._own_vm)

    @property
    def newest_own_incarnation(self) -> int:
        """Highest incarnation of this VM that any VM knows.

        If it is higher than this daemon's own, the other VMs ignore this daemon: its
        wall clock was set back before it started, or two VMs have the same name. The
        daemon has to restart with a higher incarnation.
        """
        return self._newest_own_incarnation

    @property
    def live_count(self) -> int:
        """Number of members that are not dead, this VM included."""
        return self._table.live_count

    @property
    def pending_updates(self) -> int:
        """Number of members whose changes are still to be sent."""
        return len(self._dissemination)

    def get(self, vm: str) -> member.Member | None:
        """Return a member, dead or alive, or None."""
        return self._table.get(vm)

    def live_members(self, now: float, data_centre: str | None = None):
        """Return the members that are not dead, this VM and leaving ones included.

        Parameters
        ----------
        now : float
        data_centre : str, optional
            All data centres if None.

        Returns
        -------
        list of member.Member
        """
        self._advance(now)
        centres = (
            self._table.live_data_centres() if data_centre is None else [data_centre]
        )
        return [
            self._table.get(vm)
            for centre in centres
            for vm in self._table.live_names(centre)
        ]

    def serving_members(self, now: float, data_centre: str) -> list[member.Member]:
        """Return the live members of a data centre that accept new callers."""
        return [
            record
            for record in self.live_members(now, data_centre)
            if record.state is member_state.MemberState.SERVING
        ]

    def supports(self, protocol_version: int, now: float) -> bool:
        """Return whether every live member supports ``protocol_version``."""
        self._advance(now)
        return self._table.lowest_protocol_version >= protocol_version

    def set_own(self, now: float, **fields) -> None:
        """Change fields of this VM's record; a new state is sent to the peers.

        Parameters
        ----------
        now : float
        **fields
            ``state`` or ``config_version``.
        """
        own = self.own
        changed = own._replace(last_heard=now, last_contact=now, **fields)
        if changed.state < own.state:
            raise ValueError(f"state {changed.state!r} after {own.state!r}")
        if changed.state != own.state:
            self._put_changed(changed)
        else:
            # Configuration versions are in the header of each message; as changes they
            # would cost one update per member and version.
            self._table.put(changed)

    def set_bootstrap_addresses(self, addresses: Iterable[tuple[str, int]]) -> None:
        """Replace the addresses of the seeds and of the platform's VM list.

        They are contacted in turn, except for those of live members.
        """
        self._bootstrap_addresses = collections.deque(
            tuple(address) for address in addresses
        )

    def record_direct_contact(
        self,
        vm: str,
        incarnation: int,
        now: float,
        new_state: member_state.MemberState | None = None,
        config_version: int = 0,
    ) -> bool:
        """Record a direct contact with a member.

        Parameters
        ----------
        vm : str
        incarnation : int
        now : float
            Time at which the message arrived; for a response, at which the request was
            sent.
        new_state : member_state.MemberState, optional
        config_version : int

        Returns
        -------
        bool
            False if the sender's record is not known and should be requested.
        """
        old = self._table.get(vm)
        self._failures.pop(vm, None)
        if vm == self._own_vm or old is None or old.incarnation < incarnation:
            return vm == self._own_vm
        if old.incarnation > incarnation:
            return True
        new_state = max(old.state, new_state or old.state)
        last_heard = max(old.last_heard, now)
        record = old._replace(
            state=new_state,
            config_version=max(old.config_version, config_version),
            last_heard=last_heard,
            last_contact=max(old.last_contact, now),
        )
        revived = _is_after_suspicion(old, now)
        if revived:
            record = record._replace(suspect_since=None, dead=False)
        if revived or new_state != old.state:
            self._put_changed(record)
        else:
            self._table.put(record)
        return True

    def contact_failed(self, vm: str, asked_at: float, now: float) -> None:
        """Record that a message to a member got no response.

        Parameters
        ----------
        vm : str
        asked_at : float
            Time at which the message was sent.
        now : float
        """
        self._advance(now)
        old = self._table.get(vm)
        if old is None or old.suspect_since is not None or old.last_heard > asked_at:
            self._failures.pop(vm, None)
            return
        if now - asked_at > _PAUSE_DETECTION_S:
            # This VM was paused or got no processor time: it may have missed the
            # response.
            return
        count, first = self._failures.get(vm, (0, asked_at))
        self._failures[vm] = (count + 1, first)
        large = self._table.live_count >= _LARGE_FLEET_MEMBERS
        limit = _FAILURES_IN_LARGE_FLEET if large else _FAILURES_UNTIL_SUSPECT
        if count + 1 >= limit:
            del self._failures[vm]
            self._put_changed(old._replace(suspect_since=max(first, old.last_heard)))

    def merge(
        self, updates: Sequence[update.Update], now: float, bootstrap: bool = False
    ) -> None:
        """Merge updates from a peer.

        Parameters
        ----------
        updates : sequence of update.Update
        now : float
        bootstrap : bool
            Whether the updates are the member list that a starting VM requested. They
            may then be of any age; otherwise an unknown member is added only if the
            update is younger than the time for which dead members are kept.
        """
        self._advance(now)
        for item in updates:
            if item.vm == self._own_vm:
                self._newest_own_incarnation = max(
                    self._newest_own_incarnation, item.incarnation
                )
                if item.suspect and item.incarnation == self.own.incarnation:
                    self.send_own_record(now)
                continue
            old = self._table.get(item.vm)
            if old is None or old.incarnation < item.incarnation:
                self._merge_new(old, item, now, bootstrap)
            elif old.incarnation == item.incarnation:
                if item.suspect:
                    self._merge_suspicion(old, now - item.age)
                else:
                    self._merge_contact(old, item, now - item.age - _MAX_TRANSIT_S)

    def send_own_record(self, now: float) -> None:
        """Send this VM's record to the peers again, such as to refute a suspicion."""
        self._table.put(self.own._replace(last_heard=now, last_contact=now))
        self._dissemination.add(self._own_vm)

    def next_peers(
        self, now: float, rng: random.Random
    ) -> list[peer_choice.PeerChoice]:
        """Choose the peers to contact in this round.

        Parameters
        ----------
        now : float
        rng : random.Random

        Returns
        -------
        list of peer_choice.PeerChoice
            Three random VMs of this data centre; one VM of another data centre, with
            data centres in turn and always the same few VMs of each; members whose last
            contact failed; at intervals a bootstrap address and a dead member.
        """
        self._advance(now)
        own = self.own
        near = [vm for vm in self._table.live_names(own.data_centre) if vm != own.vm]
        names = dict.fromkeys(rng.sample(near, min(OWN_PEERS, len(near))))
        far = self._next_data_centre(own.data_centre, rng)
        if far is not None:
            names[rng.choice(self._contacts_of(far))] = None
        names.update(dict.fromkeys(list(self._failures)[:OWN_PEERS]))
        if self._table.dead and now >= self._next_dead_contact_at:
            self._next_dead_contact_at = now + _DEAD_CONTACT_INTERVAL_S
            names[rng.choice(list(self._table.dead))] = None
        choices = [
            peer_choice.PeerChoice(vm, self._table.get(vm).peer_address)
            for vm in names
            if self._table.get(vm) is not None
        ]
        return choices + self._next_bootstrap_address(now)

    def take_updates(
        self, now: float, limit: int = MAX_UPDATES, peer: str = ""
    ) -> list[update.Update]:
        """Return the updates for the next message, the least often sent ones first.

        Parameters
        ----------
        now : float
        limit : int
        peer : str
            Name of the receiver, if known.

        Returns
        -------
        list of update.Update
        """
        self._advance(now)
        receiver = self._table.get(peer)
        if receiver is not None and receiver.suspect_since is not None:
            # Lets the receiver refute the suspicion. Other updates would be lost, since
            # the message probably won't arrive.
            return [self._as_update(receiver, now)]
        if peer in self._failures or not self._dissemination:
            return []
        records = map(
            self._table.get, self._dissemination.take(limit, self._table.live_count)
        )
        return [
            self._as_update(record, now) for record in records if record is not None
        ]

    def own_update(self, now: float) -> update.Update:
        """Return this VM's record, for a peer that doesn't have it."""
        return self._as_update(self.own, now)

    def next_bucket(self) -> int:
        """Return the bucket to compare in the next exchange.

        Every second time it is the whole table, which reveals a recent change that was
        missed; in between the buckets in turn, which reveal where older differences
        are.
        """
        self._compare_whole = not self._compare_whole
        if self._compare_whole:
            return member_table.WHOLE_TABLE
        self._bucket = (self._bucket + 1) % member_table.BUCKETS
        return self._bucket

    def bucket_digest(self, bucket: int) -> int:
        """Return the digest of a bucket's live members, signed 32-bit."""
        return self._table.digest(bucket % (member_table.BUCKETS + 1))

    def bucket_updates(
        self, bucket: int, now: float, rng: random.Random, limit: int = MAX_UPDATES
    ) -> list[update.Update]:
        """Return records for a peer whose digest of a bucket differs.

        Parameters
        ----------
        bucket : int
        now : float
        rng : random.Random
        limit : int

        Returns
        -------
        list of update.Update
            The newest changes for the whole table, else random records of the bucket.
        """
        bucket %= member_table.BUCKETS + 1
        limit = max(limit, 0)
        if bucket == member_table.WHOLE_TABLE:
            recent = itertools.islice(reversed(self._changed_at), limit)
            records = [self._table.get(vm) for vm in recent]
        else:
            records = list(self._table.bucket(bucket))
            records = rng.sample(records, min(limit, len(records)))
        return [self._as_update(record, now) for record in records if record]

    def page(self, after: str, now: float, size: int) -> list[update.Update]:
        """Return the live members whose names follow ``after``, in order."""
        records = sorted(
            record for record in self.live_members(now) if record.vm > after
        )
        return [self._as_update(record, now) for record in records[:size]]

    def _advance(self, now: float) -> None:
        gap, self._last_call_at = now - self._last_call_at, max(now, self._last_call_at)
        if gap > _PAUSE_DETECTION_S:
            # Failed contacts from before the pause are no evidence any more.
            self._failures.clear()
            for vm in self._suspects:
                record = self._table.get(vm)
                self._table.put(record._replace(suspect_since=now))
        for vm in list(self._suspects):
            record = self._table.get(vm)
            if now - record.suspect_since >= DEAD_AFTER_S:
                self._suspects.discard(vm)
                self._table.put(record._replace(dead=True))
        while self._changed_at:
            vm, changed_at = next(iter(self._changed_at.items()))
            if now - changed_at < _RECENT_CHANGES_S:
                break
            del self._changed_at[vm]
        if now < self._next_forget_at:
            return
        self._next_forget_at = now + _FORGET_INTERVAL_S
        for vm in list(self._table.dead):
            if now - self._table.get(vm).suspect_since >= FORGET_AFTER_S:
                self._table.remove(vm)
                self._dissemination.discard(vm)

    def _put_changed(self, record: member.Member) -> None:
        # Stores a changed record and queues it for the peers.
        self._table.put(record)
        self._dissemination.add(record.vm)
        self._changed_at.pop(record.vm, None)
        self._changed_at[record.vm] = self._last_call_at
        if record.suspect_since is not None and not record.dead:
            self._suspects.add(record.vm)
        else:
            self._suspects.discard(record.vm)

    def _merge_new(self, old, item, now, bootstrap):
        if item.suspect or item.record is None:
            return
        if old is None and item.age >= FORGET_AFTER_S and not bootstrap:
            return
        self._failures.pop(item.vm, None)
        record = item.record._replace(
            last_heard=now - item.age - _MAX_TRANSIT_S,
            last_contact=-math.inf,
            suspect_since=None,
            dead=False,
        )
        if bootstrap:
            # The other VMs have these records already; they lack only this VM's.
            self._table.put(record)
        else:
            self._put_changed(record)

    def _merge_suspicion(self, old, since):
        if since <= old.last_heard - _SUSPICION_MARGIN_S:
            if old.suspect_since is None:
                # This VM knows of a later contact, which ends the suspicion at others.
                self._dissemination.add(old.vm)
        elif old.suspect_since is None:
            self._put_changed(old._replace(suspect_since=max(since, old.last_heard)))
        elif since < old.suspect_since and not old.dead:
            self._table.put(old._replace(suspect_since=since))

    def _merge_contact(self, old, item, contact_at):
        record = old._replace(last_heard=max(old.last_heard, contact_at))
        if item.record is not None:
            record = record._replace(
                state=max(old.state, item.record.state),
                config_version=max(old.config_version, item.record.config_version),
            )
        revived = _is_after_suspicion(old, contact_at)
        if revived:
            record = record._replace(suspect_since=None, dead=False)
        if revived or record.state != old.state:
            self._put_changed(record)
        else:
            self._table.put(record)

    def _next_data_centre(self, own, rng):
        live = set(self._table.live_data_centres()) - {own}
        if not live:
            return None
        self._remaining_data_centres = [
            centre for centre in self._remaining_data_centres if centre in live
        ]
        if not self._remaining_data_centres:
            self._remaining_data_centres = sorted(live)
            rng.shuffle(self._remaining_data_centres)
        return self._remaining_data_centres.pop()

    def _contacts_of(self, data_centre):
        # Always the same VMs, since each new one would need a new connection: with
        # 4,900 VMs, two per second opened and two accepted.
        seed = zlib.crc32(self._own_vm.encode())
        names = self._table.live_names(data_centre)
        return heapq.nsmallest(
            _CONTACTS_PER_DATA_CENTRE,
            names,
            key=lambda vm: zlib.crc32(vm.encode(), seed),
        )

    def _next_bootstrap_address(self, now):
        if now < self._next_bootstrap_at:
            return []
        for _ in range(min(_ADDRESSES_PER_ROUND, len(self._bootstrap_addresses))):
            address = self._bootstrap_addresses[0]
            self._bootstrap_addresses.rotate(-1)
            if not self._table.has_live_address(address):
                if self._table.live_count > 1:
                    self._next_bootstrap_at = now + _BOOTSTRAP_INTERVAL_S
                return [peer_choice.PeerChoice("", address)]
        return []

    def _as_update(self, record, now):
        if record.suspect_since is not None:
            age = now - record.suspect_since
            return update.Update(record.vm, record.incarnation, age, suspect=True)
        age = 0.0 if record.vm == self._own_vm else now - record.last_heard
        return update.Update(record.vm, record.incarnation, age, record=record)


def _is_after_suspicion(record: member.Member, contact_at: float) -> bool:
    return record.suspect_since is not None and contact_at > record.suspect_since
