"""Simulates a fleet of VMs with faults in virtual time, around the decision code."""

import collections
import contextlib
import math
import random
from unittest import mock

from rattanlug.coordination import contact, evidence
from rattanlug.invariants import violations
from rattanlug.keys import freshness
from rattanlug.model import configuration, data_centre, upstream
from rattanlug.quota import quota
from rattanlug.seats import holder, plan
from tests.proofs import clock

RATE, BURST = 20.0, 20.0
# A VM that has not applied an accepted change rejects requests after 10 s; tokens that
# it lent shortly before may be spent for one more second.
STALE_S = 11.1


@contextlib.contextmanager
def replaced(replacements):
    """Patch attributes, given as ``(module or class, name, value)``."""
    with contextlib.ExitStack() as stack:
        for target, name, value in replacements:
            stack.enter_context(mock.patch.object(target, name, value))
        yield


class Rules:
    """One version of the configuration: plan, rate, burst and validity of the key."""

    def __init__(self, version, vms, rate, burst, key_valid, stored_at):
        centres = {
            name: data_centre.DataCentre(name, name[0], n) for name, n in vms.items()
        }
        upstreams = {
            f"u-{name}": upstream.Upstream(f"u-{name}", "s", "v", name, "h", 1, 5, 9)
            for name in vms
        }
        settings = configuration.Configuration(
            version, data_centres=centres, upstreams=upstreams
        )
        self.plan = plan.SeatPlan(settings)
        self.version, self.vms, self.rate, self.burst = version, vms, rate, burst
        self.key_valid = key_valid
        self.stored_at, self.accepted_at = stored_at, math.inf


class Store:
    """Rows of seats and the newest version; may be down, slow or lose responses."""

    def __init__(self, simulation):
        self.simulation, self.rows, self.revision = simulation, {}, 0
        self.mode = "up"

    def call(self, vm, perform, on_response, on_failure):
        """Run one call; it times out after 2 s, but may still take effect later."""
        simulation = self.simulation
        rng, incarnation, state = simulation.rng, vm.incarnation, {"open": True}

        def time_out():
            if state["open"]:
                state["open"] = False
                on_failure()

        def respond(result):
            if state["open"]:
                state["open"] = False
                on_response(result)

        def execute():
            result = perform()
            if self.mode != "lossy" or rng.random() < 0.5:
                delay = rng.uniform(0.001, 0.06)
                simulation.deliver_to(vm, incarnation, delay, respond, result)

        simulation.deliver(vm, 2.0, time_out)
        if self.mode == "down" or vm.centre in simulation.no_platform:
            return
        slow = self.mode == "slow" and rng.random() < 0.5
        delay = rng.uniform(0, 15) if slow else rng.uniform(0.001, 0.06)
        simulation.queue.call_later(delay, execute)

    def commit(self, writes):
        for write in writes:
            revision, row = self.rows.get(write.seat, (0, None))
            if revision != write.expected:
                return ("conflict", write.seat, revision, row)
        for write in writes:
            self.revision += 1
            self.rows[write.seat] = (self.revision, write.row)
        return ("ok", [self.rows[write.seat][0] for write in writes])


class Vm:
    """The adapter around the decision packages of one VM."""

    def __init__(self, simulation, name, centre):
        self.simulation, self.name, self.centre = simulation, name, centre
        self.clock = clock.Clock(simulation.queue, simulation.rng)
        self.incarnation, self.alive, self.paused_until = 0, False, 0.0

    def start(self, rules=None):
        self.incarnation += 1
        self.alive, self.serving, self.leaving = True, False, False
        self.started_at = self.now()
        self.contact = contact.MajorityContact(self.centre)
        self.evidence = evidence.PlatformEvidence()
        self.holder = holder.SeatHolder(self.name, self.incarnation, self.centre)
        self.contacts, self.contacted_at, self.peer_reports = {}, {}, {}
        self.waiting, self.rules, self.scanning = [], None, False
        self.quota = quota.OrganisationQuota(0, 0, self.seats, self.simulation.counts)
        if rules is not None:
            self.apply(rules, -math.inf)
        offset = self.simulation.rng.uniform(0, 0.1)
        for task in (self.gossip, self.read_head, self.keep_seats, self.borrow):
            self.simulation.deliver(self, offset, task)

    def now(self):
        return self.clock.now()

    def fresh(self, now):
        age = self.evidence.age(now)
        return freshness.keyed_routes_allowed(
            age, False
        ) or freshness.keyed_routes_allowed(age, self.contact.in_contact(now))

    def seats(self, now):
        usable = self.rules is not None and self.serving and self.fresh(now)
        return self.holder.usable_seats(now) if usable else ()

    def apply(self, rules, accepted_at=None):
        if self.rules is not None and rules.version <= self.rules.version:
            return
        self.rules = rules
        self.contact.apply(rules.version, rules.vms)
        self.evidence.apply(rules.version)
        self.holder.apply(rules.plan, accepted_at)
        self.quota.configure(rules.rate, rules.burst)
        self.simulation.update_accepted()

    def fetch_version(self, version):
        if self.rules is None or version > self.rules.version:
            rules = self.simulation.rules[version]
            self.simulation.deliver(
                self, self.simulation.rng.uniform(0.01, 0.2), self.apply, rules
            )

    # Gossip.

    def gossip(self):
        simulation = self.simulation
        simulation.deliver(self, 0.5, self.gossip)
        self.contact.begin_round(self.now())
        near = [vm for vm in simulation.vms if vm.centre == self.centre and vm != self]
        far = [vm for vm in simulation.vms if vm.centre != self.centre]
        for peer in [*near, simulation.rng.choice(far)]:
            state = (self.name, self.incarnation, self.version())
            simulation.send(self, peer, peer.handle_gossip, self, state, self.now())

    def version(self):
        return self.rules.version if self.rules else 0

    def record_peer_contact(self, name, incarnation, version):
        self.contacts[name, incarnation] = self.now()
        self.contacted_at[name] = self.now()
        if version:
            self.fetch_version(version)

    def handle_gossip(self, sender, state, asked_at):
        self.record_peer_contact(*state)
        now = self.now()
        ages = self.contact.report(now, sender.centre, self.serving)
        age = self.evidence.age(now)
        answer = (self.name, self.incarnation, self.version())
        silence = {who: self.silence(who, now) for who in sender.simulation.holders()}
        self.simulation.send(
            self, sender, sender.handle_gossip_response, answer, self.centre, ages, age,
            silence, asked_at, incarnation=state[1],
        )  # fmt: skip

    def silence(self, who, now):
        return now - max(self.started_at, self.contacts.get(who, -math.inf))

    def handle_gossip_response(self, state, centre, ages, age, silence, asked_at):
        self.record_peer_contact(*state)
        name, _, version = state
        now = self.now()
        if version:
            self.contact.observe(asked_at, ages, version)
            self.contact.observe_version(centre, version)
            self.evidence.observe_peer(asked_at, age, version)
        if centre == self.centre:
            self.holder.record_contact(asked_at, now)
            self.peer_reports[name] = (asked_at, silence)
        self.holder.accept(self.contact.accepted_version(), now)

    def silence_reports(self, now):
        result = collections.defaultdict(list)
        witnesses = [
            name
            for name, time in self.contacted_at.items()
            if now - time <= 3.0 and self.simulation.by_name[name].centre == self.centre
        ]
        for who in self.simulation.holders():
            result[who].append(self.silence(who, now))
            for name in witnesses:
                asked_at, silence = self.peer_reports.get(name, (-math.inf, {}))
                recent = now - asked_at <= 2.0
                result[who].append(silence.get(who, 0.0) if recent else 0.0)
        return result

    # Platform.

    def read_head(self):
        simulation, asked_at = self.simulation, self.now()
        simulation.deliver(self, 0.7, self.read_head)

        def handle_head(version):
            self.fetch_version(version)
            self.evidence.observe_read(asked_at, version)

        simulation.store.call(
            self, lambda: max(simulation.rules), handle_head, lambda: None
        )
        if self.rules is not None and self.fresh(asked_at):
            self.serving = True

    def keep_seats(self):
        self.simulation.deliver(self, 0.25, self.keep_seats)
        now = self.now()
        for seat in self.holder.releasing:
            if not self.quota.outstanding(seat, now):
                self.holder.finish_release(seat)
        if self.leaving and not self.holder.seats:
            self.simulation.restart(self)
            return
        if self.holder.wants_scan(now) and not self.scanning:
            self.scanning = True
            self.simulation.store.call(
                self,
                lambda: dict(self.simulation.store.rows),
                lambda rows: self.handle_scan(rows, now),
                self.handle_scan_failure,
            )
        if not self.serving:
            return
        target = self.holder.vm_with_spare_seat(now)
        if target is not None and now - self.started_at > 14:
            peer = self.simulation.by_name[target]
            self.simulation.send(self, peer, peer.release_spare)
        writes = self.holder.next_writes(now, self.silence_reports(now))
        if writes:
            store = self.simulation.store
            store.call(
                self,
                lambda: store.commit(writes),
                lambda result: self.handle_commit(result, now),
                self.holder.record_unknown_outcome,
            )

    def handle_scan(self, rows, asked_at):
        self.scanning = False
        self.holder.record_scan(rows, asked_at, self.now())

    def handle_scan_failure(self):
        self.scanning = False

    def handle_commit(self, result, sent_at):
        if result[0] == "ok":
            self.holder.record_commit(result[1], sent_at, self.now())
        else:
            self.holder.record_conflict(*result[1:], sent_at, self.now())
        self.simulation.check_seats()

    def release_spare(self):
        seat = self.holder.spare_seat()
        if seat is not None:
            self.holder.release(seat)

    # Requests.

    def allowed(self, now):
        return self.serving and self.fresh(now) and self.rules.key_valid

    def request(self):
        if not self.allowed(self.now()):
            return
        if self.quota.try_admit(self.now()):
            self.simulation.record_admitted(self)
        else:
            self.quota.begin_waiting()
            self.waiting.append(self.now() + quota.MAX_WAIT_S)

    def drain(self):
        while self.waiting:
            now = self.now()
            if not self.allowed(now) or self.waiting[0] <= now:
                self.quota.stop_waiting()
            elif self.quota.admit_waiting(now):
                self.simulation.record_admitted(self)
            else:
                return
            self.waiting.pop(0)

    def borrow(self):
        simulation, now = self.simulation, self.now()
        simulation.deliver(self, 0.1, self.borrow)
        self.drain()
        if not self.serving:
            return
        peers = {vm.name: 1 for vm in simulation.vms if vm != self}
        for message in self.quota.plan_borrowing(now, peers):
            peer = simulation.by_name[message.vm]
            simulation.send(self, peer, peer.lend, self, self.incarnation, message, now)

    def lend(self, borrower, incarnation, message, asked_at):
        now = self.now()
        self.quota.settle(message.settlements, now)
        if message.tokens:
            loans = self.quota.lend(message.tokens, now)
            self.simulation.send(
                self, borrower, borrower.handle_loans, self.name, loans, asked_at,
                incarnation=incarnation,
            )  # fmt: skip

    def handle_loans(self, name, loans, asked_at):
        self.quota.accept(name, loans, asked_at, self.now())
        self.drain()


class Simulation:
    """One random schedule of load, faults and configuration changes."""

    vm_type = Vm

    def __init__(self, seed, seconds=40.0):
        self.rng, self.seconds = random.Random(seed), seconds
        self.queue = clock.EventQueue()
        self.counts = violations.Violations()
        self.failures, self.trace = [], []
        self.partitioned, self.no_platform = set(), set()
        self.loss = self.rng.choice((0.0, 0.02, 0.1))
        self.store = Store(self)
        vms = {name: 2 for name in ("a1", "b1", "c1")}
        self.rules = {1: Rules(1, vms, RATE, BURST, True, 0.0)}
        self.rules[1].accepted_at = 0.0
        self.level, self.level_at, self.admitted = BURST, 0.0, 0
        self.key_latency = self.key_latency_in_contact = 0.0
        self.vms = [self.vm_type(self, f"{n}-{i}", n) for n in vms for i in range(2)]
        if self.rng.random() < 0.5:
            self.vms.append(self.vm_type(self, "a1-2", "a1"))
        self.by_name = {vm.name: vm for vm in self.vms}

    def run(self):
        """Return the failures found, empty if all checks pass."""
        rng = self.rng
        for vm in self.vms:
            vm.start(self.rules[1])
        time, targets, load = 0.0, self.vms, RATE * rng.choice((0.9, 2, 4))
        while time < self.seconds:
            time += rng.expovariate(load)
            if rng.random() < 0.01:
                targets = rng.choice((self.vms, [rng.choice(self.vms)]))
            self.queue.call_at(time, self.deliver, rng.choice(targets), 0.0, "request")
        for _ in range(rng.randint(1, 8)):
            action = rng.choice(
                (self.partition, self.partition, self.store_fault, self.store_fault,
                 self.kill, self.kill, self.pause, self.pause, self.leave, self.change,
                 self.change)
            )  # fmt: skip
            self.queue.call_at(rng.uniform(3, self.seconds - 5), action)
        self.queue.call_later(0.1, self.sample)
        self.queue.run(self.seconds)
        if self.counts.total:
            self.record_failure("run-time check failed")
        return self.failures

    def log(self, text):
        self.trace.append(f"{self.queue.now:.3f} {text}")

    def record_failure(self, text):
        if len(self.failures) < 5:
            self.log(f"FAILURE {text}")
            self.failures.append(f"{self.queue.now:.3f} {text}")

    def deliver(self, vm, delay, callback, *args):
        """Call back in the VM's process: not after a crash, and delayed by a pause."""
        self.deliver_to(vm, vm.incarnation, delay, callback, *args)

    def deliver_to(self, vm, incarnation, delay, callback, *args):
        """Call back in the given incarnation of the VM."""
        self.queue.call_later(delay, self._arrive, vm, incarnation, callback, args)

    def _arrive(self, vm, incarnation, callback, args):
        if callback == "request":
            callback = vm.request
        elif vm.incarnation != incarnation:
            return
        if not vm.alive:
            return
        if vm.paused_until > self.queue.now:
            self.queue.call_at(
                vm.paused_until, self._arrive, vm, incarnation, callback, args
            )
            return
        callback(*args)

    def send(self, source, target, callback, *args, incarnation=None):
        """Deliver a message, to the requesting incarnation if it is a response."""
        near = source.centre == target.centre
        blocked = not near and (source.centre in self.partitioned) != (
            target.centre in self.partitioned
        )
        if blocked or not near and self.rng.random() < self.loss or not target.alive:
            return
        delay = self.rng.uniform(0.0, 0.003) if near else self.rng.uniform(0.0, 0.08)
        to = target.incarnation if incarnation is None else incarnation
        self.deliver_to(target, to, delay, callback, *args)

    def holders(self):
        rows = (row for _, row in self.store.rows.values())
        return {(row.vm, row.incarnation) for row in rows if row.vm}

    # Faults.

    def partition(self):
        centres = ["a1", "b1", "c1"]
        self.partitioned = set(self.rng.sample(centres, self.rng.choice((1, 2))))
        self.no_platform = set(self.rng.sample(centres, self.rng.choice((0, 1, 2, 3))))
        self.log(
            f"partition {sorted(self.partitioned)}, "
            f"no platform {sorted(self.no_platform)}"
        )
        self.queue.call_later(self.rng.uniform(1, 25), self.heal)

    def heal(self):
        self.partitioned, self.no_platform = set(), set()
        self.log("healed")

    def store_fault(self):
        self.store.mode = self.rng.choice(("down", "slow", "lossy"))
        self.log(f"store {self.store.mode}")
        self.queue.call_later(
            self.rng.uniform(1, 25), setattr, self.store, "mode", "up"
        )

    def kill(self):
        vm = self.rng.choice(self.vms)
        if vm.alive:
            self.log(f"{vm.name} crashes")
            vm.alive = False
            self.queue.call_later(self.rng.uniform(0.1, 15), self.restart, vm)

    def restart(self, vm):
        self.log(f"{vm.name} starts")
        vm.paused_until = 0.0
        vm.start()

    def pause(self):
        vm = self.rng.choice(self.vms)
        length = self.rng.uniform(0.5, 25)
        self.log(f"{vm.name} pauses for {length:.1f} s")
        vm.paused_until = self.queue.now + length

    def leave(self):
        vm = self.rng.choice(self.vms)
        if vm.alive:
            self.log(f"{vm.name} leaves")
            vm.leaving = True
            vm.holder.leave()

    def change(self):
        candidates = [
            vm for vm in self.vms
            if vm.alive and vm.paused_until <= self.queue.now and vm.serving
            and vm.contact.in_contact(vm.now()) and vm.centre not in self.no_platform
        ]  # fmt: skip
        if not candidates or self.store.mode == "down":
            return
        old = self.rules[max(self.rules)]
        vms, rate, burst, valid = dict(old.vms), old.rate, old.burst, old.key_valid
        kind = self.rng.choice(("rate", "burst", "plan", "plan", "key", "key"))
        if kind == "rate":
            rate = self.rng.choice((5.0, 20.0, 40.0))
        elif kind == "burst":
            burst = self.rng.choice((4.0, 20.0, 50.0))
        elif kind == "plan":
            vms[self.rng.choice(sorted(vms))] = self.rng.choice((1, 2, 3))
        else:
            valid = not valid
        version = old.version + 1
        self.rules[version] = Rules(version, vms, rate, burst, valid, self.queue.now)
        self.log(f"version {version}: {vms}, rate {rate}, burst {burst}, key {valid}")
        self._refill()
        self.rng.choice(candidates).apply(self.rules[version])

    # Checks.

    def update_accepted(self):
        for version, rules in self.rules.items():
            informed_centres = {
                vm.centre for vm in self.vms if vm.alive and vm.version() >= version
            }
            if rules.accepted_at == math.inf and 2 * len(informed_centres) > len(
                rules.vms
            ):
                rules.accepted_at = self.queue.now
                self.log(f"version {version} accepted")
                self.queue.call_later(STALE_S, self._refill)

    def in_force(self):
        """Return the versions that a VM may follow without violating a limit."""
        newest = max(
            (
                version
                for version, rules in self.rules.items()
                if rules.accepted_at + STALE_S <= self.queue.now
            ),
            default=1,
        )
        return [rules for version, rules in self.rules.items() if version >= newest]

    def _refill(self):
        elapsed = self.queue.now - self.level_at
        rules = self.in_force()
        # The elapsed time counts at the rate of the versions in force until now, too.
        rate = max(entry.rate for entry in [*rules, *getattr(self, "_before", [])])
        self._before = rules
        burst = max(entry.burst for entry in rules)
        self.level = min(burst, self.level + rate * elapsed)
        self.level_at = self.queue.now

    def record_admitted(self, vm):
        self._refill()
        self.admitted += 1
        self.level -= 1
        if self.level < -1e-6:
            self.record_failure(f"{vm.name} admits {-self.level:.3f} above the rate")
        accepted = [
            rules.accepted_at
            for rules in self.rules.values()
            if rules.accepted_at < math.inf
        ]
        valid = {
            rules.key_valid
            for rules in self.rules.values()
            if rules.accepted_at == math.inf or rules.accepted_at == max(accepted)
        }
        newest = max(accepted)
        if valid == {False}:
            latency = self.queue.now - newest
            self.key_latency = max(self.key_latency, latency)
            if latency > 10.0:
                self.record_failure(
                    f"{vm.name} serves a key withdrawn {latency:.2f} s ago"
                )
            if self.well_connected(vm, newest):
                self.key_latency_in_contact = max(self.key_latency_in_contact, latency)
                if latency > 3.0:
                    self.record_failure(f"{vm.name} in contact serves a withdrawn key")

    def takeovers(self):
        """Return how often a seat changed its holder."""
        return sum(row.term - 1 for _, row in self.store.rows.values())

    def withdrawals(self):
        """Return how many accepted versions withdraw the key."""
        pairs = zip(self.rules.values(), list(self.rules.values())[1:], strict=False)
        return sum(
            old.key_valid and not new.key_valid and new.accepted_at < math.inf
            for old, new in pairs
        )

    def well_connected(self, vm, time):
        quiet = not any(
            float(line.split()[0]) > time - 3
            for line in self.trace
            if any(word in line for word in ("partition", "healed", "pauses", "crash"))
        )
        return quiet and not self.partitioned and vm.paused_until < time

    def sample(self):
        self.queue.call_later(0.1, self.sample)
        self.check_seats()

    def check_seats(self):
        seats, slots, shares = {}, {}, 0.0
        for vm in self.vms:
            if not vm.alive or vm.paused_until > self.queue.now or vm.rules is None:
                continue
            for seat in vm.holder.usable_seats(vm.now()):
                if seat.seat in seats:
                    self.record_failure(
                        f"{seat.seat} held by {vm.name} and {seats[seat.seat]}"
                    )
                seats[seat.seat] = vm.name
            shares += sum(seat.share for seat in vm.seats(vm.now()))
            for slot in vm.holder.usable_slots(vm.now()):
                if slot in slots:
                    self.record_failure(f"{slot} used by {vm.name} and {slots[slot]}")
                slots[slot] = vm.name
        if shares > 1 + 1e-9:
            self.record_failure(f"shares add up to {shares:.3f}")
