"""Keeps copies of the store's tables, and applies what was written there."""

import math
from collections.abc import Callable

import trio

from rattanlug.canary import record_codec
from rattanlug.daemon import clock
from rattanlug.desired import bounds, state
from rattanlug.discovery import upstream_record
from rattanlug.gateway import node as node_module
from rattanlug.gateway import table_client
from rattanlug.logs import state_log
from rattanlug.platform import names, store_error, upstream_table
from rattanlug.tables import follow_messages, source_choice, store_read

# Longest wait of a feed, as a part of the time in which a withdrawn key must stop
# working. A copy is confirmed from before a feed was asked until the next one ends, so
# its age reaches two waits; a follower and a change of its source add to that.
KEY_WAIT_SHARE = 0.18
# The same for the upstreams, as a part of the time in which one that leaves must get no
# more: a dead connection hides it for one wait.
DRAIN_WAIT_SHARE = 0.5
LONGEST_WAIT_SECONDS = 1.5
# Round trips and late timers that are added to two waits.
AGE_MARGIN_SECONDS = 0.4
# Least time from one call of a feed to the next, so that changes in quick succession
# come together; it delays a change by a small part of the bounds.
FEED_INTERVAL_SECONDS = 0.2
# Wait at a VM that is followed, as a part of a feed's wait; a dead connection is found
# in this time.
FOLLOW_WAIT_SHARE = 0.55
# Pause after a failed call; doubles up to the longest.
FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 0.8
# Time between looks for a VM to follow, while this one reads the store.
LOOK_SECONDS = 0.3
# Registrations are applied at least this often, since one that is missing after the
# store was away counts as gone only some time later.
APPLY_SECONDS = 1.0
# An own call to the store that failed this lately shows that a failure elsewhere is one
# of the store, and not of the way from one VM to it; registrations lapse after longer.
AWAY_SECONDS = 4.0
_FOLLOWED = (names.OPERATOR_TABLE, names.UPSTREAM_TABLE)


class StoreReader:
    """Reads the store, or follows a VM that does.

    Parameters
    ----------
    node : node.Node
    """

    def __init__(self, node: node_module.Node) -> None:
        self._node = node
        self._choice = source_choice.SourceChoice()
        self._client = table_client.TableClient(
            node.settings.host, node.settings.peer_ports[0]
        )
        self._source: str | None = None
        self._reads_store = trio.Event()
        self._reads_store.set()
        # When an own call to the store last failed, and when one last succeeded.
        self._failed_at = -math.inf
        self._reached_at = -math.inf
        self._upstreams = upstream_table.UpstreamTable(node.counters)
        self._upstreams_applied_at = 0.0
        self._waits = feed_waits(node.settings.bounds)
        self._apply: dict[str, Callable[[store_read.StoreRead, bool], None]] = {
            names.OPERATOR_TABLE: self._apply_operators,
            names.UPSTREAM_TABLE: self._apply_upstreams,
            record_codec.TABLE: self._apply_moves,
        }

    async def run(self) -> None:
        """Keep all copies up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            for table in _FOLLOWED:
                nursery.start_soon(self._read_store, table)
            nursery.start_soon(self._read_moves)
            nursery.start_soon(self._follow)

    def apply_read(self, table: str, read: store_read.StoreRead, whole: bool) -> bool:
        """Take a read and apply it; return False if it was outdated."""
        node, now = self._node, clock.now()
        changed = node.tables.apply_read(table, read, whole, now)
        if changed is None:
            node.counters.add("store_reads_outdated", table=table)
            return False
        node.versions.set_store_clock(read.store_now, now)
        self._apply[table](read, whole)
        return True

    async def _read_store(self, table: str) -> None:
        node = self._node
        read_whole, pause = True, FIRST_PAUSE_SECONDS
        while True:
            await self._reads_store.wait()
            copy = node.tables.copy(table)
            read_whole = read_whole or copy.version < 0
            began = clock.now()
            try:
                if read_whole:
                    read = await node.store.read_table(table)
                else:
                    read = await node.store.follow_table(
                        table, copy.version, self._waits[table]
                    )
            except store_error.HistoryLostError:
                read_whole = True
                continue
            except store_error.StoreError as exc:
                self._note_failed(table, str(exc))
                # The whole table is read again, since changes may have been missed.
                read_whole = True
                await trio.sleep(pause)
                pause = min(2.0 * pause, LONGEST_PAUSE_SECONDS)
                continue
            pause = FIRST_PAUSE_SECONDS
            self._reached_at = clock.now()
            node.note_store("reached", "")
            if not self.apply_read(table, read, read_whole):
                await trio.sleep(FIRST_PAUSE_SECONDS)
            read_whole = False
            await trio.sleep(max(0.0, began + FEED_INTERVAL_SECONDS - clock.now()))

    async def _read_moves(self) -> None:
        """Follow the records of moves while one runs."""
        node, table = self._node, record_codec.TABLE
        while True:
            await self._reads_store.wait()
            copy = node.tables.copy(table)
            if not node.follows_moves:
                await trio.sleep(FIRST_PAUSE_SECONDS)
                continue
            whole = copy.age(clock.now()) > oldest(self._waits[table])
            try:
                if whole:
                    read = await node.store.read_table(table)
                else:
                    read = await node.store.follow_table(
                        table, copy.version, self._waits[table]
                    )
            except store_error.StoreError as exc:
                self._note_failed(table, str(exc))
                await trio.sleep(LONGEST_PAUSE_SECONDS)
                continue
            if not self.apply_read(table, read, whole):
                await trio.sleep(FIRST_PAUSE_SECONDS)

    def _note_failed(self, table: str, reason: str) -> None:
        now = clock.now()
        self._failed_at = now
        self._node.tables.record_store_failure(now)
        if table == names.UPSTREAM_TABLE:
            self._node.registry.record_store_failure(now)
        self._node.note_store("lost", reason)

    async def _follow(self) -> None:
        node = self._node
        while True:
            now = clock.now()
            before = node.region_before(now)
            source = self._choice.choose(sorted(before), now)
            if source is None:
                self._set_source(None)
                await trio.sleep(LOOK_SECONDS)
                continue
            request = self._request()
            try:
                answer = await self._client.ask(before[source], request)
            except table_client.UnreachableError as exc:
                node.counters.add("table_sources_lost")
                self._choice.record_failure(source, clock.now())
                state_log.log_change("table_source", source, None, reason=str(exc))
                continue
            if self._is_fresh(answer):
                self._choice.record_success(source)
                self._set_source(source)
            else:
                self._choice.record_failure(source, clock.now())
            self._take_answer(answer, now)

    def _request(self) -> follow_messages.FollowRequest:
        node = self._node
        tables = list(_FOLLOWED)
        if node.follows_moves:
            tables.append(record_codec.TABLE)
        versions = {each: node.tables.copy(each).version for each in tables}
        # While this VM reads the store itself, it only asks whether it still has to.
        wait = FOLLOW_WAIT_SHARE * self._waits[names.OPERATOR_TABLE]
        if self._source is None:
            wait = 0.0
        return follow_messages.FollowRequest(versions, wait)

    def _set_source(self, source: str | None) -> None:
        state_log.log_change("table_source", self._source or "store", source or "store")
        self._source = source
        if source is None:
            self._reads_store.set()
        elif self._reads_store.is_set():
            self._reads_store = trio.Event()

    def _take_answer(
        self, answer: follow_messages.FollowAnswer, asked_at: float
    ) -> None:
        """Take what another VM knew, as old as if it had answered at once."""
        node = self._node
        now = clock.now()
        if answer.store_failed is not None and self._misses_store(now):
            # The store was away for both; the other VM saw its return.
            failed_at = now - answer.store_failed
            node.tables.record_store_failure(failed_at)
            node.registry.record_store_failure(failed_at)
        for each in answer.tables:
            if each.table in self._apply:
                read = store_read.StoreRead(
                    list(each.rows),
                    each.version,
                    answer.store_clock,
                    asked_at - each.age,
                )
                self.apply_read(each.table, read, each.whole)

    def _misses_store(self, now: float) -> bool:
        """Tell whether the store was away lately and this VM did not see its return.

        A VM that reached it again knows better than one that the store still refuses.
        """
        return self._reached_at < self._failed_at and (
            now - self._failed_at < AWAY_SECONDS
        )

    def _is_fresh(self, answer: follow_messages.FollowAnswer) -> bool:
        """Tell whether the answering VM reads, or follows, without faults."""
        ages = {each.table: each.age for each in answer.tables}
        return all(
            ages.get(each, math.inf) <= oldest(self._waits[each]) for each in _FOLLOWED
        )

    def _apply_operators(self, read: store_read.StoreRead, whole: bool) -> None:
        if whole:
            self._node.operators.apply_all(read)
        else:
            self._node.operators.apply_changes(read)
        _put_in_force(self._node, read)

    def _apply_upstreams(self, read: store_read.StoreRead, whole: bool) -> None:
        now = clock.now()
        if not read.rows and now - self._upstreams_applied_at < APPLY_SECONDS:
            return
        self._upstreams_applied_at = now
        rows = self._node.tables.copy(names.UPSTREAM_TABLE).rows
        records = self._upstreams.decode_all(rows)
        apply_upstreams(self._node, records, read.version, now)

    def _apply_moves(self, read: store_read.StoreRead, whole: bool) -> None:
        node, records = self._node, []
        copy = node.tables.copy(record_codec.TABLE)
        for row in copy.rows:
            try:
                records.append(record_codec.decode(row.value, row.version))
            except record_codec.UnreadableRecordError:
                node.counters.add("move_records_unreadable")
        node.versions.set_records(records, copy.confirmed_at)


def feed_waits(limits: bounds.Bounds) -> dict[str, float]:
    """Return the longest wait of a feed for each table, seconds."""
    keys = min(LONGEST_WAIT_SECONDS, KEY_WAIT_SHARE * limits.key_withdrawal)
    drain = min(LONGEST_WAIT_SECONDS, DRAIN_WAIT_SHARE * limits.drain)
    return {
        names.OPERATOR_TABLE: keys,
        names.UPSTREAM_TABLE: drain,
        record_codec.TABLE: keys,
    }


def oldest(wait: float) -> float:
    """Return the greatest age of a table that is read without faults, seconds."""
    return 2.0 * wait + AGE_MARGIN_SECONDS


def apply_upstreams(
    node: node_module.Node,
    records: list[upstream_record.UpstreamRecord],
    version: int,
    now: float,
) -> None:
    """Take all registrations as of a version of the store."""
    if node.registry.apply(records, version, now):
        node.placer.upstreams_changed()
        node.log.write("upstreams changed", now, count=node.registry.size, read=version)
    node.note_upstreams_read()
    versions: dict[str, set[str]] = {}
    for each in records:
        if not each.leaving:
            versions.setdefault(each.service, set()).add(each.version)
    for service, present in versions.items():
        node.versions.update_registered(service, present, now)


def _put_in_force(node: node_module.Node, read: store_read.StoreRead) -> None:
    now = clock.now()
    found = node.operators.desired
    before = node.desired.state
    if found is not None and node.desired.accept(found):
        _log_rates(before, found)
        node.limiters.configure(found.organisations, now)
        node.placer.configure(found.services)
        share_rates(node, now)
        state_log.log_change(
            "desired_state",
            before.version if before else None,
            found.version,
            read=read.version,
        )
    if found is not None:
        node.desired.confirm(read.sent_at)
    node.versions.set_orders(node.operators.orders)
    node.placer.evacuate(node.operators.evacuated)


def share_rates(node: node_module.Node, now: float) -> None:
    """Divide the rates of organisations anew, by the reports of the other VMs."""
    demands, vms = node.demand_elsewhere(now)
    node.limiters.update_shares(demands, vms + 1, now)


def _log_rates(before: state.DesiredState | None, after: state.DesiredState) -> None:
    """Write a line for each organisation whose rate changed."""
    known = {each.name: each for each in before.organisations} if before else {}
    for each in after.organisations:
        earlier = known.get(each.name)
        old = (earlier.rate, earlier.burst) if earlier else None
        state_log.log_change(
            "rate",
            old,
            (each.rate, each.burst),
            organisation=each.name,
            version=after.version,
        )
