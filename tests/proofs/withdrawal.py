"""Checks how long a withdrawn key is accepted, partitioned and in contact."""

import argparse
import math

from rattanlug.coordination import contact, information
from rattanlug.keys import freshness
from tests.proofs import fleet

CUT_OFF_S, CONTACT_S = 10.0, 3.0


class KeyVm(fleet.Vm):
    """A VM with contact, evidence and keys only: no seats and no rates."""

    def gossip(self):
        simulation = self.simulation
        simulation.deliver(self, 0.5, self.gossip)
        self.contact.begin_round(self.now())
        near = [vm for vm in simulation.vms if vm.centre == self.centre and vm != self]
        centres = sorted({vm.centre for vm in simulation.vms} - {self.centre})
        self.round_number = (
            getattr(self, "round_number", simulation.rng.randrange(2)) + 1
        )
        centre = centres[self.round_number % len(centres)]
        far = [vm for vm in simulation.vms if vm.centre == centre]
        state = (self.name, self.incarnation, self.version())
        for peer in [*near, simulation.rng.choice(far)]:
            simulation.send(self, peer, peer.handle_gossip, self, state, self.now())

    def fetch_version(self, version):
        if self.rules is None or version > self.rules.version:
            delay = self.simulation.fetch_delay(self)
            self.simulation.deliver(
                self, delay, self.apply, self.simulation.rules[version]
            )

    def keep_seats(self):
        pass

    def borrow(self):
        pass

    def request(self):
        if self.allowed(self.now()):
            self.simulation.record_admitted(self)


class KeySimulation(fleet.Simulation):
    """One withdrawal under partitions, outages, pauses, crashes and slow fetches."""

    vm_type = KeyVm

    def __init__(self, seed):
        super().__init__(seed, seconds=35.0)
        self.loss = self.rng.choice((0.0, 0.02, 0.1))
        self.partition_changed_at, self.paused_vms, self.slow_vms = 0.0, set(), set()
        self.informed_centres = set()

    def run(self):
        rng = self.rng
        for vm in self.vms:
            vm.start(self.rules[1])
        if rng.random() < 0.3:
            self.slow_vms = {rng.choice(self.vms)}
        time = 0.0
        while time < self.seconds:
            time += rng.expovariate(40.0)
            vm = rng.choice(self.vms)
            self.queue.call_at(time, self.deliver, vm, 0.0, "request")
        faults = (
            self.partition,
            self.partition,
            self.store_fault,
            self.pause,
            self.kill,
        )
        for _ in range(rng.randint(0, 3)):
            self.queue.call_at(rng.uniform(4, 12), rng.choice(faults))
        self.queue.call_at(rng.uniform(8, 12), self.withdraw)
        self.queue.run(self.seconds)
        return self.failures

    def fetch_delay(self, vm):
        if vm in self.slow_vms:
            return self.rng.uniform(3, 20)
        return self.rng.uniform(0.01, 0.2)

    def partition(self):
        self.partition_changed_at = self.queue.now
        super().partition()

    def heal(self):
        self.partition_changed_at = self.queue.now
        super().heal()

    def pause(self):
        super().pause()
        self.paused_vms = {vm for vm in self.vms if vm.paused_until} | self.paused_vms

    def withdraw(self):
        candidates = [
            vm
            for vm in self.vms
            if vm.alive and vm.paused_until <= self.queue.now and vm.serving
            and vm.contact.in_contact(vm.now()) and vm.centre not in self.no_platform
        ]  # fmt: skip
        if not candidates or self.store.mode == "down":
            return
        old = self.rules[1]
        self.rules[2] = fleet.Rules(
            2, old.vms, old.rate, old.burst, False, self.queue.now
        )
        self.log("key withdrawn")
        self.rng.choice(candidates).apply(self.rules[2])

    def update_accepted(self):
        super().update_accepted()
        if 2 in self.rules and self.rules[2].accepted_at == self.queue.now:
            self.informed_centres = {vm.centre for vm in self.vms if vm.version() == 2}

    def record_admitted(self, vm):
        self.admitted += 1
        if 2 not in self.rules or self.rules[2].accepted_at == math.inf:
            return
        accepted_at = self.rules[2].accepted_at
        latency = self.queue.now - accepted_at
        self.key_latency = max(self.key_latency, latency)
        if latency > CUT_OFF_S:
            self.record_failure(f"{vm.name} serves a key withdrawn {latency:.2f} s ago")
        undisturbed = self.loss <= 0.02 and self.partition_changed_at < accepted_at
        undisturbed = undisturbed and vm not in self.slow_vms and not self.paused_vms
        side = vm.centre in self.partitioned
        if undisturbed and any(
            (name in self.partitioned) == side for name in self.informed_centres
        ):
            self.key_latency_in_contact = max(self.key_latency_in_contact, latency)
            if latency > CONTACT_S:
                self.record_failure(
                    f"{vm.name} in contact, key withdrawn {latency:.2f} s ago"
                )


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
    """Return (failures, accepted withdrawals, longest use, longest use in contact)."""
    failing, accepted, longest, in_contact = [], 0, 0.0, 0.0
    with fleet.replaced(MUTANTS.get(mutant, ())):
        for seed in range(first_seed, first_seed + schedules):
            simulation = KeySimulation(seed)
            if simulation.run():
                failing.append((seed, simulation.failures, simulation.trace))
            accepted += simulation.withdrawals()
            longest = max(longest, simulation.key_latency)
            in_contact = max(in_contact, simulation.key_latency_in_contact)
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
    for seed, failures, trace in failing[:1]:
        print(f"seed {seed}: {failures}", *trace, sep="\n  ")
    return bool(failing)


if __name__ == "__main__":
    raise SystemExit(main())
