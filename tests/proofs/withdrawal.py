"""How long a withdrawn key works, cut off from everything and in contact."""

import argparse
import math

from rattanlug.coordination import contact, information
from rattanlug.keys import freshness
from tests.proofs import fleet

CUT_OFF_S, CONTACT_S = 10.0, 3.0


class KeyVm(fleet.Vm):
    """Contact, evidence and keys only: no seats and no rates."""

    def gossip(self):
        world = self.world
        world.deliver(self, 0.5, self.gossip)
        self.contact.begin_round(self.now())
        near = [vm for vm in world.vms if vm.centre == self.centre and vm != self]
        centres = sorted({vm.centre for vm in world.vms} - {self.centre})
        self.turn = getattr(self, "turn", world.rng.randrange(2)) + 1
        centre = centres[self.turn % len(centres)]
        far = [vm for vm in world.vms if vm.centre == centre]
        state = (self.name, self.incarnation, self.version())
        for peer in [*near, world.rng.choice(far)]:
            world.send(self, peer, peer.hear, self, state, self.now())

    def learn(self, version):
        if self.rules is None or version > self.rules.version:
            delay = self.world.fetch_delay(self)
            self.world.deliver(self, delay, self.apply, self.world.rules[version])

    def keep_seats(self):
        pass

    def borrow(self):
        pass

    def request(self):
        if self.allowed(self.now()):
            self.world.note_admitted(self)


class KeyWorld(fleet.World):
    """One withdrawal under cuts, outages, pauses, deaths and slow fetches."""

    vm_type = KeyVm

    def __init__(self, seed):
        super().__init__(seed, seconds=35.0)
        self.loss = self.rng.choice((0.0, 0.02, 0.1))
        self.cut_at, self.paused_vms, self.slow = 0.0, set(), set()
        self.knowing = set()

    def run(self):
        rng = self.rng
        for vm in self.vms:
            vm.start(self.rules[1])
        if rng.random() < 0.3:
            self.slow = {rng.choice(self.vms)}
        moment = 0.0
        while moment < self.seconds:
            moment += rng.expovariate(40.0)
            vm = rng.choice(self.vms)
            self.queue.at(moment, self.deliver, vm, 0.0, "request")
        faults = (self.cut, self.cut, self.store_fault, self.pause, self.kill)
        for _ in range(rng.randint(0, 3)):
            self.queue.at(rng.uniform(4, 12), rng.choice(faults))
        self.queue.at(rng.uniform(8, 12), self.withdraw)
        self.queue.run(self.seconds)
        return self.faults

    def fetch_delay(self, vm):
        if vm in self.slow:
            return self.rng.uniform(3, 20)
        return self.rng.uniform(0.01, 0.2)

    def cut(self):
        self.cut_at = self.queue.now
        super().cut()

    def heal(self):
        self.cut_at = self.queue.now
        super().heal()

    def pause(self):
        super().pause()
        self.paused_vms = {vm for vm in self.vms if vm.paused_until} | self.paused_vms

    def withdraw(self):
        able = [
            vm
            for vm in self.vms
            if vm.alive and vm.paused_until <= self.queue.now and vm.serving
            and vm.contact.in_contact(vm.now()) and vm.centre not in self.no_platform
        ]  # fmt: skip
        if not able or self.store.mode == "down":
            return
        old = self.rules[1]
        self.rules[2] = fleet.Rules(
            2, old.vms, old.rate, old.burst, False, self.queue.now
        )
        self.note("key withdrawn")
        self.rng.choice(able).apply(self.rules[2])

    def note_applied(self):
        super().note_applied()
        if 2 in self.rules and self.rules[2].accepted_at == self.queue.now:
            self.knowing = {vm.centre for vm in self.vms if vm.version() == 2}

    def note_admitted(self, vm):
        self.admitted += 1
        if 2 not in self.rules or self.rules[2].accepted_at == math.inf:
            return
        accepted_at = self.rules[2].accepted_at
        latency = self.queue.now - accepted_at
        self.key_latency = max(self.key_latency, latency)
        if latency > CUT_OFF_S:
            self.fault(f"{vm.name} serves a key withdrawn {latency:.2f} s ago")
        steady = self.loss <= 0.02 and self.cut_at < accepted_at
        steady = steady and vm not in self.slow and not self.paused_vms
        side = vm.centre in self.cuts
        if steady and any((name in self.cuts) == side for name in self.knowing):
            self.key_latency_in_contact = max(self.key_latency_in_contact, latency)
            if latency > CONTACT_S:
                self.fault(f"{vm.name} in contact, key withdrawn {latency:.2f} s ago")


def _count_unapplied(self, moment, version, applied):
    self._moment = max(self._moment, moment)


MUTANTS = {
    "evidence without a limit": [(freshness, "MAX_EVIDENCE_AGE_S", math.inf)],
    "contact without a limit": [(contact, "MAX_AGE_S", math.inf)],
    "unapplied versions count": [
        (information.Information, "observe", _count_unapplied)
    ],
}


def run_schedules(first_seed, schedules, mutant=None):
    """Return (failures, accepted withdrawals, longest use, longest in contact)."""
    failing, accepted, longest, in_contact = [], 0, 0.0, 0.0
    with fleet.replaced(MUTANTS.get(mutant, ())):
        for seed in range(first_seed, first_seed + schedules):
            world = KeyWorld(seed)
            if world.run():
                failing.append((seed, world.faults, world.trace))
            accepted += world.withdrawals()
            longest = max(longest, world.key_latency)
            in_contact = max(in_contact, world.key_latency_in_contact)
    return failing, accepted, longest, in_contact


def main(argv=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--schedules", type=int, default=10_000)
    parser.add_argument("--mutant", choices=sorted(MUTANTS))
    options = parser.parse_args(argv)
    failing, accepted, longest, in_contact = run_schedules(
        options.seed, options.schedules, options.mutant
    )
    print(f"schedules {options.schedules} from seed {options.seed}")
    print(f"failing {len(failing)}, accepted withdrawals {accepted}")
    print(f"longest use {longest:.2f} s, in contact {in_contact:.2f} s")
    for seed, faults, trace in failing[:1]:
        print(f"seed {seed}: {faults}", *trace, sep="\n  ")
    return bool(failing)


if __name__ == "__main__":
    raise SystemExit(main())
