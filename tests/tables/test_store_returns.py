"""Random writes, copies, returns, pages and followers against a plain model."""

import json
import os

import hypothesis
from hypothesis import stateful, strategies

from rattanlug.desired import holder
from rattanlug.discovery import upstream_registry
from rattanlug.metrics import counters
from rattanlug.platform import names, operator_table, upstream_table
from rattanlug.tables import (
    follow_codec,
    follow_messages,
    store_read,
    store_row,
    table_set,
)
from trial.shared_platform import fleet

TABLES = (names.OPERATOR_TABLE, names.UPSTREAM_TABLE)
ZONES = strategies.sampled_from(("a", "b"))
UPSTREAMS = strategies.sampled_from(("u1", "u2"))
FOLLOWERS = strategies.integers(1, 2)
READERS = strategies.integers(0, 2)
TABLE_NAMES = strategies.sampled_from(TABLES)
# Longer than anything is held.
QUIET_SECONDS = 30.0
REMOVAL_SECONDS = 6.0
EXAMPLES = int(os.environ.get("RATTANLUG_STORE_SEQUENCES", "200"))


class Store:
    """Rows, history and copies of a store; writes of others are written again."""

    def __init__(self):
        self.era, self.version = 1, 0
        self.rows = {each: {} for each in TABLES}
        self.writes = []

    def write(self, table, key, value):
        self.version += 1
        self.rows[table][key] = store_row.StoreRow(
            key, value or b"", self.version, value is None
        )
        self.writes.append((self.version, table, key, value))

    def present(self, table):
        return [each for each in self.rows[table].values() if not each.removed]

    def copy(self):
        return self.version, {name: dict(rows) for name, rows in self.rows.items()}

    def come_back(self, copy):
        self.version, rows = copy
        self.rows = {name: dict(each) for name, each in rows.items()}
        self.era += 1
        lost = {each[1:3]: each for each in self.writes if each[0] > self.version}
        self.writes = [each for each in self.writes if each[0] <= self.version]
        return [(table, key, value) for _, table, key, value in lost.values()]


class Vm:
    """The parts of a VM that learn what the store holds."""

    def __init__(self):
        self.tables = table_set.TableSet(TABLES)
        self.operators = operator_table.OperatorTable()
        self.registry = upstream_registry.UpstreamRegistry()
        self.decoder = upstream_table.UpstreamTable(counters.Counters())
        self.desired = holder.StateHolder()

    def apply(self, table, read, whole, now):
        if self.tables.apply_read(table, read, whole, now) is None:
            return
        if table == names.OPERATOR_TABLE:
            apply = self.operators.apply_all if whole else self.operators.apply_changes
            apply(read)
            if self.operators.desired is not None:
                self.desired.accept(self.operators.desired)
        else:
            records = self.decoder.decode_all(self.tables.copy(table).rows)
            self.registry.apply(records, read.version, now, read.era)

    def available(self):
        return {each.id for each in self.registry.records if not each.leaving}


class StoreReturns(stateful.RuleBasedStateMachine):
    """VM 0 reads the store, the others follow the VM before or read it themselves."""

    def __init__(self):
        super().__init__()
        self.store, self.now = Store(), 0.0
        self.vms = [Vm() for _ in range(3)]
        self.copies = [self.store.copy()]
        self.lost, self.late, self.pages = [], [], {}
        self.state_version = 0
        self.sequences = {}
        # Number of changes of each evacuation.
        self.changes = {}
        # Number of changes and state of each evacuation that a VM has learned, by VM.
        self.agreed = {}
        # Start and sequence at which each upstream left or began to drain.
        self.left = {}
        self.returned_at = 0.0

    @stateful.rule()
    def change_desired_state(self):
        self.state_version += 1
        state = fleet.desired_state(self.state_version)
        self._write(names.OPERATOR_TABLE, names.DESIRED_STATE_KEY, state)

    @stateful.rule(zone=ZONES, starts=strategies.booleans())
    def evacuate(self, zone, starts):
        key = names.EVACUATION_PREFIX + zone
        self.changes[zone] = self.changes.get(zone, 0) + 1
        self._write(names.OPERATOR_TABLE, key, {} if starts else None)

    @stateful.rule(upstream=UPSTREAMS, draining=strategies.booleans())
    def register(self, upstream, draining):
        born, sequence, has_left = self.sequences.get(upstream, (0, 0, True))
        if has_left:
            born, sequence = born + 1, 0
        self.sequences[upstream] = born, sequence + 1, draining
        state = "draining" if draining else "ready"
        value = {
            "address": "127.0.0.1:80",
            "born": born,
            "info": {"service": "s", "version": "v", "capacity": 1, "zone": "a"},
            "status": {"state": state, "sequence": sequence + 1},
        }
        self._write(names.UPSTREAM_TABLE, upstream, value)

    @stateful.rule(upstream=UPSTREAMS)
    def leave(self, upstream):
        if upstream in self.sequences:
            born, sequence, _ = self.sequences[upstream]
            self.sequences[upstream] = born, sequence, True
            self._write(names.UPSTREAM_TABLE, upstream, None)

    def _write(self, table, key, value):
        # What was lost of the same row is out of date.
        self.lost = [each for each in self.lost if each[:2] != (table, key)]
        data = None if value is None else json.dumps(value).encode()
        self.store.write(table, key, data)

    @stateful.rule()
    def copy_store(self):
        self.copies = [*self.copies[-2:], self.store.copy()]

    @stateful.rule(data=strategies.data())
    def return_from_copy(self, data):
        self.returned_at = self.now
        copy = data.draw(strategies.sampled_from(self.copies))
        # Lost writes of before weren't written in this era.
        earlier = {each[:2]: each for each in self.lost}
        for each in self.store.come_back(copy):
            earlier.setdefault(each[:2], each)
        self.lost = list(earlier.values())
        # The copies of a later time aren't of this history.
        self.copies = [each for each in self.copies if each[0] <= copy[0]]

    @stateful.rule()
    def write_again(self):
        for table, key, value in self.lost:
            self.store.write(table, key, value)
        self.lost = []

    @stateful.rule(seconds=strategies.floats(0.05, 1.0))
    def wait(self, seconds):
        # The writers are back in time.
        if self.lost:
            self.write_again()
        self.now += seconds

    @stateful.rule(vm=READERS, table=TABLE_NAMES)
    def read_whole(self, vm, table):
        self._apply(vm, table, self._whole(table), True)

    def _whole(self, table):
        return self._read(self.store.present(table))

    def _read(self, rows):
        store = self.store
        return store_read.StoreRead(rows, store.version, self.now, self.now, store.era)

    @stateful.rule(vm=READERS, table=TABLE_NAMES)
    def feed(self, vm, table):
        copy = self.vms[vm].tables.copy(table)
        if 0 <= copy.version <= self.store.version:
            rows = [
                each
                for each in self.store.rows[table].values()
                if each.version > copy.version
            ]
            rows.sort(key=lambda row: row.version)
            self._apply(vm, table, self._read(rows), False)

    @stateful.rule(vm=READERS, table=TABLE_NAMES)
    def start_late_read(self, vm, table):
        self.late.append((vm, table, self._whole(table)))

    @stateful.rule()
    def end_late_read(self):
        if self.late:
            self._apply(*self.late.pop(0), True)

    @stateful.rule(vm=READERS)
    def read_first_page(self, vm):
        rows = self.store.present(names.OPERATOR_TABLE)
        self.pages[vm] = self._read(sorted(rows)[:1])

    @stateful.rule(vm=READERS)
    def read_last_page(self, vm):
        first = self.pages.pop(vm, None)
        # The client begins again if the era changed between two pages.
        if first is not None and first.era == self.store.era:
            last = first.rows[-1].key if first.rows else ""
            rest = self.store.present(names.OPERATOR_TABLE)
            rows = first.rows + sorted(each for each in rest if each.key > last)
            self._apply(vm, names.OPERATOR_TABLE, first._replace(rows=rows), True)

    @stateful.rule(vm=FOLLOWERS)
    def follow(self, vm):
        own, source = self.vms[vm].tables, self.vms[vm - 1].tables
        request = follow_messages.FollowRequest(
            {each: own.copy(each).version for each in TABLES},
            0.0,
            {each: own.copy(each).era for each in TABLES},
        )
        request = follow_codec.decode_request(follow_codec.encode_request(request))
        answer = source.answer(request, self.now)
        for each in follow_codec.decode_answer(
            follow_codec.encode_answer(answer)
        ).tables:
            read = store_read.StoreRead(
                list(each.rows),
                each.version,
                answer.store_clock,
                self.now - each.age,
                each.era,
            )
            self._apply(vm, each.table, read, each.whole)

    def _apply(self, index, table, read, whole):
        vm = self.vms[index]
        before, available = vm.desired.version, vm.available()
        known = {each.id: each for each in vm.registry.records}
        vm.apply(table, read, whole, self.now)
        assert vm.desired.version >= before
        for zone, (changes, evacuated) in self.agreed.get(index, {}).items():
            if self.changes.get(zone, 0) == changes:
                assert (zone in vm.operators.evacuated) == evacuated
        for upstream in vm.available() - available:
            record = vm.registry.record(upstream)
            place = record.incarnation, record.sequence
            # Rows of silent upstreams are removed from the store by then.
            if self.now < self.returned_at + REMOVAL_SECONDS:
                assert place > self.left.get((index, upstream), (0, 0))
        for upstream in available - vm.available():
            record = vm.registry.record(upstream) or known[upstream]
            self.left[index, upstream] = record.incarnation, record.sequence

    @stateful.rule()
    def be_quiet(self):
        """After a quiet moment, each copy and what is in force equal the store."""
        self.write_again()
        for _ in range(3):
            for index in range(len(self.vms)):
                for table in TABLES:
                    if index == 0:
                        self.read_whole(index, table)
                    else:
                        self.follow(index)
            self.now += QUIET_SECONDS
        zones = {
            each.key.removeprefix(names.EVACUATION_PREFIX)
            for each in self.store.present(names.OPERATOR_TABLE)
            if each.key.startswith(names.EVACUATION_PREFIX)
        }
        registered = {each.key for each in self.store.present(names.UPSTREAM_TABLE)}
        for index, vm in enumerate(self.vms):
            self.agreed[index] = {
                each: (self.changes.get(each, 0), each in zones) for each in "ab"
            }
            for table in TABLES:
                copy = vm.tables.copy(table)
                assert (copy.era, copy.version) == (self.store.era, self.store.version)
                assert sorted(copy.rows) == sorted(self.store.present(table))
            assert vm.operators.evacuated == zones
            assert vm.operators.held == []
            assert vm.desired.version == self.state_version
            assert {each.id for each in vm.registry.records} == registered

    def teardown(self):
        self.be_quiet()


StoreReturns.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES, stateful_step_count=40, deadline=None
)
TestStoreReturns = StoreReturns.TestCase
