"""Keeps copies of the store's tables and applies their changes.

A VM reads the store with feed calls, which are long polls for the changes of a table,
or follows the copies of another VM of its region, its source.
"""

import functools
import math
from collections.abc import Callable

import trio

from rattanlug.canary import record_codec
from rattanlug.daemon import background_tasks, clock
from rattanlug.desired import bounds, state
from rattanlug.discovery import upstream_record
from rattanlug.gateway import node as node_module
from rattanlug.gateway import table_client
from rattanlug.logs import state_log
from rattanlug.platform import names, store_error, upstream_table
from rattanlug.tables import follow_messages, source_choice, store_read

# Longest wait of a feed call, as a fraction of the time within which a withdrawn key
# must stop working. A copy is confirmed as of the sending of a call until the next call
# ends, so its age reaches two waits; following a VM and changing the source add to it.
KEY_WAIT_FRACTION = 0.18
MAX_WAIT_SECONDS = 1.5
# Allowance for round trips and late timers, beyond two waits.
AGE_MARGIN_SECONDS = 0.4
# Time for reading the store once a copy is too old to follow: in another region, a
# connection and a call take two round trips.
SWITCH_SECONDS = 0.5
# Minimum time between feed calls, which batches changes in quick succession. It delays
# a change by a small part of the bounds.
FEED_INTERVAL_SECONDS = 0.2
# Wait at a VM that is followed, as a fraction of a feed's wait. A dead connection is
# detected within this time.
FOLLOW_WAIT_FRACTION = 0.55
# Backoff after a failed call; doubles up to the maximum.
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.8
# How often a VM that reads the store looks for a VM to follow.
SOURCE_CHECK_INTERVAL_SECONDS = 0.3
# Registrations are applied at least this often, even without changes, since one that
# disappeared while the store was unavailable must be dropped some time later.
UPSTREAM_APPLY_INTERVAL_SECONDS = 1.0
# A failed store call that another VM reports is attributed to the store, and not to
# that VM's connection to it, only if a store call of this VM has also failed within
# this time. It is shorter than the time after which a registration expires.
RECENT_FAILURE_SECONDS = 4.0
_FOLLOWED = (names.OPERATOR_TABLE, names.UPSTREAM_TABLE)


class StoreReader:
    """Reads the store, or follows another VM that does.

    Parameters
    ----------
    node : node.Node
    """

    def __init__(self, node: node_module.Node) -> None:
        self._node = node
        self._source_choice = source_choice.SourceChoice()
        self._client = table_client.TableClient(
            node.settings.host, node.settings.peer_ports[0]
        )
        self._source: str | None = None
        self._reads_store = trio.Event()
        self._reads_store.set()
        # Times of the last failed and of the last successful call to the store.
        self._store_failed_at = -math.inf
        self._store_reached_at = -math.inf
        self._upstream_table = upstream_table.UpstreamTable(node.counters)
        self._upstreams_applied_at = 0.0
        # Tables whose copies have rows that raised an error when they were applied.
        self._unapplied: set[str] = set()
        self._activated: state.DesiredState | None = None
        # Longest wait of a feed call, seconds, by table.
        self._waits = feed_waits(node.settings.bounds)
        self._apply: dict[str, Callable[[store_read.StoreRead, bool], None]] = {
            names.OPERATOR_TABLE: self._apply_operators,
            names.UPSTREAM_TABLE: self._apply_upstreams,
            record_codec.TABLE: self._apply_rollout_records,
        }

    @property
    def _needs_rollout_records(self) -> bool:
        """Whether a rollout is running, or the era of the store has changed."""
        node = self._node
        copy = node.tables.copy(record_codec.TABLE)
        return (
            node.follows_rollouts
            or 0 <= copy.version
            and (copy.era < node.store_era.current)
        )

    async def run(self) -> None:
        """Keep all table copies up to date until cancelled."""
        tasks = {
            f"store_reader_{table}": functools.partial(self._read_store, table)
            for table in _FOLLOWED
        }
        tasks["store_reader_rollouts"] = self._follow_rollout_records
        tasks["table_follower"] = self._follow
        async with trio.open_nursery() as nursery:
            for name, task in tasks.items():
                nursery.start_soon(
                    background_tasks.keep_running, name, task, self._node.counters
                )

    def apply_read(self, table: str, read: store_read.StoreRead, whole: bool) -> bool:
        """Apply a read; return False if it was outdated.

        The copy of the table is newer than what was applied if applying raises an
        error. Then the next read applies the whole copy.
        """
        node, now = self._node, clock.now()
        changed = None
        if read.era >= node.store_era.current:
            node.store_era.observe(read.era)
            before = (node.tables.copy(table).era, node.tables.copy(table).version)
            changed = node.tables.apply_read(table, read, whole, now)
        if changed is None:
            node.counters.add("store_reads_outdated", table=table)
            return False
        node.versions.set_store_clock(read.store_now, now)
        has_failed_rows = table == names.OPERATOR_TABLE and node.operators.failed
        if table in self._unapplied or has_failed_rows:
            read, whole = read._replace(rows=node.tables.copy(table).rows), True
        self._unapplied.add(table)
        self._apply[table](read, whole)
        self._unapplied.discard(table)
        if before[1] >= 0 and read.era > before[0]:
            self._record_era(table, before, read)
        return True

    async def _read_store(self, table: str) -> None:
        """Read a table and its changes while this VM does not follow another one."""
        node = self._node
        read_whole, backoff = True, MIN_BACKOFF_SECONDS
        while True:
            await self._reads_store.wait()
            copy = node.tables.copy(table)
            read_whole = (
                read_whole
                or copy.version < 0
                or copy.era < node.store_era.current
                or table in self._unapplied
            )
            started_at = clock.now()
            try:
                if read_whole:
                    read = await node.store.read_table(table)
                else:
                    read = await self._follow_store(table)
            except store_error.HistoryLostError:
                # The calls stay rare, since each read of the whole table is followed by
                # a wait.
                read_whole = True
                continue
            except store_error.StoreError as exc:
                self._record_store_failure(table, str(exc))
                # Changes may have been missed, so the whole table is read again.
                read_whole = True
                await trio.sleep(backoff)
                backoff = min(2.0 * backoff, MAX_BACKOFF_SECONDS)
                continue
            backoff = MIN_BACKOFF_SECONDS
            if read is None or (read.era > copy.era and not read_whole):
                continue
            self._store_reached_at = clock.now()
            node.record_store_outcome("reached", "")
            if not self.apply_read(table, read, read_whole):
                await trio.sleep(MIN_BACKOFF_SECONDS)
            read_whole = False
            await _wait_until(started_at + FEED_INTERVAL_SECONDS)

    async def _follow_rollout_records(self) -> None:
        """Follow the rollout records while a rollout is running."""
        node, table = self._node, record_codec.TABLE
        while True:
            await self._reads_store.wait()
            copy = node.tables.copy(table)
            if not self._needs_rollout_records:
                await trio.sleep(MIN_BACKOFF_SECONDS)
                continue
            whole = (
                copy.age(clock.now()) > max_age(self._waits[table])
                or copy.era < node.store_era.current
            )
            try:
                if whole:
                    read = await node.store.read_table(table)
                else:
                    read = await self._follow_store(table)
            except store_error.StoreError as exc:
                self._record_store_failure(table, str(exc))
                await trio.sleep(MAX_BACKOFF_SECONDS)
                continue
            if read is None or (read.era > copy.era and not whole):
                continue
            if not self.apply_read(table, read, whole):
                await trio.sleep(MIN_BACKOFF_SECONDS)

    async def _follow_store(self, table: str) -> store_read.StoreRead | None:
        """Wait for changes of a table; return None if the era of the store rises."""
        read = None
        with self._node.store_era.until_change():
            read = await self._node.store.follow_table(
                table, self._node.tables.copy(table).version, self._waits[table]
            )
        return read

    def _record_era(
        self, table: str, before: tuple[int, int], read: store_read.StoreRead
    ) -> None:
        """Log and count that a table was read for the first time in an era.

        Parameters
        ----------
        table : str
        before : tuple of (int, int)
            Era and version of the copy before the read.
        read : store_read.StoreRead
        """
        node = self._node
        kept = {
            names.OPERATOR_TABLE: node.operators.held,
            names.UPSTREAM_TABLE: node.registry.missing,
            record_codec.TABLE: [each.service for each in node.versions.lost],
        }
        node.counters.add("store_era_changes", table=table)
        state_log.log_change(
            "store_era",
            before[0],
            read.era,
            table=table,
            old_version=before[1],
            version=read.version,
            kept=kept[table],
        )

    def _record_store_failure(self, table: str, reason: str) -> None:
        now = clock.now()
        self._store_failed_at = now
        self._node.tables.record_store_failure(now)
        if table == names.UPSTREAM_TABLE:
            self._node.registry.record_store_failure(now)
        self._node.record_store_outcome("lost", reason)

    async def _follow(self) -> None:
        """Follow another VM; while there is none, let this VM read the store."""
        while True:
            now = clock.now()
            candidates = self._node.follow_candidates(now)
            source = self._source_choice.choose(sorted(candidates), now)
            is_switch = source != self._source
            if source is None or (is_switch and not self._may_wait_for_source(now)):
                self._set_source(None)
            if source is None:
                await trio.sleep(SOURCE_CHECK_INTERVAL_SECONDS)
                continue
            try:
                await self._follow_once(source, candidates[source], now)
            except Exception:
                # The copies must not go stale while following raises errors.
                self._source_choice.record_failure(source, clock.now())
                self._set_source(None)
                raise

    def _fresh_seconds(self, now: float) -> float:
        """Return how long the copies of this VM stay fresh, seconds."""
        return min(
            max_age(self._waits[each]) - self._node.tables.copy(each).age(now)
            for each in _FOLLOWED
        )

    def _may_wait_for_source(self, now: float) -> bool:
        """Tell whether the copies stay fresh until a VM that is silent has failed.

        Several VMs may have fallen silent at the same time, for instance those of a
        data centre. The store must be read before their time-outs have added up.
        """
        return self._fresh_seconds(now) >= table_client.RESPONSE_TIMEOUT_SECONDS

    async def _follow_once(self, source: str, host: str, now: float) -> None:
        """Request the changes of a VM, and apply its response."""
        request = self._follow_request(source, now)
        try:
            response = await self._client.follow(host, request)
        except table_client.UnreachableError as exc:
            self._node.counters.add("table_sources_lost")
            self._source_choice.record_failure(source, clock.now())
            state_log.log_change("table_source", source, None, reason=str(exc))
            return
        if self._is_fresh(response, clock.now()):
            self._source_choice.record_success(source)
            self._set_source(source)
        else:
            self._source_choice.record_failure(source, clock.now())
        self._apply_response(response, now)

    def _follow_request(self, source: str, now: float) -> follow_messages.FollowRequest:
        node = self._node
        tables = list(_FOLLOWED)
        if self._needs_rollout_records:
            tables.append(record_codec.TABLE)
        versions = {each: node.tables.copy(each).version for each in tables}
        eras = {each: node.tables.copy(each).era for each in tables}
        # While this VM reads the store itself, it only checks whether the other VM can
        # be followed instead.
        if self._source is None:
            return follow_messages.FollowRequest(versions, 0.0, eras)
        # The response comes before a copy is too old, to change the source in time.
        fresh_seconds = self._fresh_seconds(now)
        if source != self._source:
            fresh_seconds -= table_client.RESPONSE_TIMEOUT_SECONDS
        wait = FOLLOW_WAIT_FRACTION * self._waits[names.OPERATOR_TABLE]
        return follow_messages.FollowRequest(
            versions, max(0.0, min(wait, fresh_seconds)), eras
        )

    def _set_source(self, source: str | None) -> None:
        state_log.log_change("table_source", self._source or "store", source or "store")
        self._source = source
        if source is None:
            self._reads_store.set()
        elif self._reads_store.is_set():
            self._reads_store = trio.Event()

    def _apply_response(
        self, response: follow_messages.FollowAnswer, requested_at: float
    ) -> None:
        """Apply another VM's response.

        The ages in it count from the request, as if it had been sent immediately.
        """
        node = self._node
        now = clock.now()
        if response.store_failed is not None and self._is_cut_off_from_store(now):
            # The store was unavailable for both VMs; the other has reached it again.
            failed_at = now - response.store_failed
            node.tables.record_store_failure(failed_at)
            node.registry.record_store_failure(failed_at)
        for each in response.tables:
            if each.table in self._apply:
                read = store_read.StoreRead(
                    list(each.rows),
                    each.version,
                    response.store_clock,
                    requested_at - each.age,
                    each.era,
                )
                self.apply_read(each.table, read, each.whole)

    def _is_cut_off_from_store(self, now: float) -> bool:
        """Tell whether this VM lost the store recently and has not reached it again.

        Once it has, failures reported by a VM that the store still rejects are ignored.
        """
        return self._store_reached_at < self._store_failed_at and (
            now - self._store_failed_at < RECENT_FAILURE_SECONDS
        )

    def _is_fresh(self, response: follow_messages.FollowAnswer, now: float) -> bool:
        """Tell whether the copies of the VM that responded are fresh.

        While they precede those of this VM, or it has not yet read a new era of the
        store, they are of no use to this VM, whose own copies then tell when to change
        the source.
        """
        ages = {
            each.table: max(each.age, self._node.tables.copy(each.table).age(now))
            if self._precedes_own_copy(each)
            else each.age
            for each in response.tables
        }
        return all(
            ages.get(each, math.inf) <= max_age(self._waits[each]) for each in _FOLLOWED
        )

    def _precedes_own_copy(self, changes: follow_messages.Changes) -> bool:
        copy = self._node.tables.copy(changes.table)
        latest = max((copy.era, copy.version), (self._node.store_era.current, -1))
        return (changes.era, changes.version) < latest

    def _apply_operators(self, read: store_read.StoreRead, whole: bool) -> None:
        if whole:
            self._node.operators.apply_all(read)
        else:
            self._node.operators.apply_changes(read)
        self._activate(read)

    def _activate(self, read: store_read.StoreRead) -> None:
        """Activate the operators' desired state, rollout orders and evacuations."""
        node, now = self._node, clock.now()
        desired, before = node.operators.desired, self._activated
        if desired is not None:
            node.desired.accept(
                desired, lambda: node.limiters.configure(desired.organisations, now)
            )
        current = node.desired.state
        # Compared with what was activated, since an error may follow the acceptance.
        if current is not None and current is not before:
            _log_rate_changes(before, current)
            node.placer.configure(current.services)
            update_rate_shares(node, now)
            state_log.log_change(
                "desired_state",
                before.version if before else None,
                current.version,
                read=read.version,
            )
            self._activated = current
        node.versions.set_orders(node.operators.orders, read.era)
        node.placer.evacuate(node.operators.evacuated)
        # A desired state that wasn't applied may have withdrawn keys.
        if desired is not None and names.DESIRED_STATE_KEY not in node.operators.failed:
            node.desired.confirm(read.sent_at)

    def _apply_upstreams(self, read: store_read.StoreRead, whole: bool) -> None:
        now = clock.now()
        if (
            not read.rows
            and now - self._upstreams_applied_at < UPSTREAM_APPLY_INTERVAL_SECONDS
        ):
            return
        rows = self._node.tables.copy(names.UPSTREAM_TABLE).rows
        records = self._upstream_table.decode_all(rows)
        apply_upstreams(self._node, records, read.version, now, whole, read.era)
        self._upstreams_applied_at = now

    def _apply_rollout_records(self, read: store_read.StoreRead, whole: bool) -> None:
        node, records = self._node, []
        copy = node.tables.copy(record_codec.TABLE)
        for row in copy.rows:
            try:
                records.append(record_codec.decode(row.value, row.version, copy.era))
            except record_codec.UnreadableRecordError:
                node.counters.add("move_records_unreadable")
        node.versions.set_records(records, copy.confirmed_at, copy.era, whole=True)


async def _wait_until(end: float) -> None:
    await trio.sleep(max(0.0, end - clock.now()))


def feed_waits(limits: bounds.Bounds) -> dict[str, float]:
    """Return the longest wait of a feed call for each table, seconds."""
    key_wait = min(
        MAX_WAIT_SECONDS,
        KEY_WAIT_FRACTION * limits.key_withdrawal,
        _longest_wait(limits.apply),
    )
    drain_wait = min(MAX_WAIT_SECONDS, _longest_wait(limits.drain))
    return {
        names.OPERATOR_TABLE: key_wait,
        names.UPSTREAM_TABLE: drain_wait,
        record_codec.TABLE: key_wait,
    }


def _longest_wait(bound: float) -> float:
    """Return the longest wait with which a change gets in force in time, seconds.

    The VM that is followed may lose the store right before the change.

    Parameters
    ----------
    bound : float
        Time within which the change has to be in force, seconds.
    """
    wait = 0.5 * (bound - AGE_MARGIN_SECONDS - SWITCH_SECONDS)
    return max(FEED_INTERVAL_SECONDS, wait)


def max_age(wait: float) -> float:
    """Return the maximum age of a table copy in normal operation, seconds."""
    return 2.0 * wait + AGE_MARGIN_SECONDS


def apply_upstreams(
    node: node_module.Node,
    records: list[upstream_record.UpstreamRecord],
    version: int,
    now: float,
    whole: bool = False,
    era: int = 0,
) -> None:
    """Apply all registrations as of a version of the store.

    After the read of a whole table, all that depends on them is updated even if
    none changed, since an error may have prevented that.
    """
    changed = node.registry.apply(records, version, now, era)
    if changed or whole:
        node.placer.upstreams_changed(now)
    if changed:
        node.log.write("upstreams changed", now, count=node.registry.size, read=version)
    node.record_upstreams_read()
    versions: dict[str, set[str]] = {}
    for each in node.registry.records:
        if not each.leaving:
            versions.setdefault(each.service, set()).add(each.version)
    for service, registered in versions.items():
        node.versions.update_registered(service, registered, now)


def update_rate_shares(node: node_module.Node, now: float) -> None:
    """Recompute this VM's rate shares from the digests of the other VMs."""
    demands, vms = node.peer_demand(now)
    node.limiters.update_shares(demands, vms + 1, now)


def _log_rate_changes(
    before: state.DesiredState | None, after: state.DesiredState
) -> None:
    """Log each organisation whose rate changed."""
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
