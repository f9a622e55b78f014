"""False refusals of an organisation within its rate, against a static split."""

import argparse
import random
from typing import NamedTuple

from rattanlug.invariants import violations
from rattanlug.quota import quota
from rattanlug.seats import held_seat
from tests.proofs import clock

DATA_CENTRES = 6
VMS = 12
# The load starts when the buckets have filled; its first 5 s do not count.
START_S = 5.0
WARM_UP_S = 5.0


class Scenario(NamedTuple):
    """One load on one organisation."""

    name: str
    rate: float
    burst: float
    load: float = 0.9
    spacing: str = "even"
    shift_s: float = 0.0
    spread: bool = False


class Vm:
    """The adapter around one quota: it sends what the quota plans."""

    def __init__(self, world, index):
        self.world, self.index = world, index
        self.clock = clock.Clock(world.queue, world.rng)
        start = self.clock.now()
        seat = held_seat.HeldSeat(f"dc/{index}", 1, 1 / VMS, start + 1.1, start)
        self.quota = quota.OrganisationQuota(
            world.scenario.rate, world.scenario.burst, lambda now: (seat,), world.counts
        )
        self.waiting = []
        world.queue.after(world.rng.uniform(0, 0.02), self.tick)

    def request(self):
        if self.quota.try_admit(self.clock.now()):
            self.world.admitted()
        elif not self.world.lending:
            self.world.refused()
        else:
            self.quota.begin_waiting()
            self.waiting.append(self.world.queue.now + quota.MAX_WAIT_S)
            self.send()

    def tick(self):
        self.drain()
        self.send()
        self.world.queue.after(0.02, self.tick)

    def drain(self):
        while self.waiting and self.quota.admit_waiting(self.clock.now()):
            self.waiting.pop(0)
            self.world.admitted()
        while self.waiting and self.waiting[0] <= self.world.queue.now:
            self.waiting.pop(0)
            self.quota.stop_waiting()
            self.world.refused()

    def send(self):
        if not self.world.lending:
            return
        now = self.clock.now()
        peers = {str(i): 1 for i in range(VMS) if i != self.index}
        for message in self.quota.plan_borrowing(now, peers):
            peer = self.world.vms[int(message.vm)]
            self.world.messages += 1
            delay = self.world.delay(self, peer)
            self.world.queue.after(delay, peer.serve, self, message, now, delay)

    def serve(self, borrower, message, asked_at, delay):
        self.quota.settle(message.settlements, self.clock.now())
        loans = ()
        if message.tokens:
            loans = self.quota.lend(message.tokens, self.clock.now())
            self.world.queue.after(delay, borrower.take, message.vm, loans, asked_at)

    def take(self, vm, loans, asked_at):
        self.quota.accept(vm, loans, asked_at, self.clock.now())
        self.drain()
        if self.waiting:
            self.send()


class World:
    """Twelve VMs in three regions, 55 ms apart, without faults."""

    def __init__(self, scenario, seed, lending=True):
        self.scenario, self.lending = scenario, lending
        self.rng = random.Random(seed)
        self.queue = clock.EventQueue()
        self.counts = violations.Violations()
        self.tally = {True: 0, False: 0}
        self.messages = 0
        self.level, self.level_at, self.worst = scenario.burst, 0.0, 0.0
        self.vms = [Vm(self, index) for index in range(VMS)]

    def delay(self, first, second):
        if first.index % 3 == second.index % 3:
            return 0.0015 if first.index % 6 != second.index % 6 else 0.0003
        return 0.055

    def admitted(self):
        elapsed = self.queue.now - self.level_at
        self.level = min(self.scenario.burst, self.level + self.scenario.rate * elapsed)
        self.level_at = self.queue.now
        self.level -= 1
        self.worst = min(self.worst, self.level)
        self._count(True)

    def refused(self):
        self._count(False)

    def _count(self, success):
        if self.queue.now >= START_S + WARM_UP_S:
            self.tally[success] += 1

    def run(self, seconds):
        per_second = self.scenario.rate * self.scenario.load
        moment, seconds = START_S, START_S + seconds
        while moment < seconds:
            even = self.scenario.spacing == "even"
            moment += 1 / per_second if even else self.rng.expovariate(per_second)
            shift = self.scenario.shift_s
            target = int(moment / shift) * 5 % VMS if shift else 0
            if self.scenario.spread:
                target = self.rng.randrange(VMS)
            self.queue.at(moment, self.vms[target].request)
        self.queue.run(seconds)
        total = sum(self.tally.values())
        return self.tally[False] / total


def oracle(scenario, seed, seconds):
    """Share of requests that one perfect token bucket refuses."""
    rng = random.Random(seed)
    per_second = scenario.rate * scenario.load
    level, moment, refused, total = scenario.burst, 0.0, 0, 0
    while moment < seconds:
        gap = 1 / per_second
        if scenario.spacing != "even":
            gap = rng.expovariate(per_second)
        moment += gap
        level = min(scenario.burst, level + gap * scenario.rate)
        if moment >= WARM_UP_S:
            total += 1
            refused += level < 1
        level -= level >= 1
    return refused / total


SCENARIOS = [
    Scenario(
        f"{name}, {spacing}, rate {rate}, burst {burst}",
        rate,
        burst,
        spacing=spacing,
        **load,
    )
    for rate, burst in ((50, 100), (50, 50), (20, 10), (50, 10), (5, 10), (500, 1000))
    for name, load in (
        ("one VM", {}),
        ("shift 3 s", {"shift_s": 3.0}),
        ("spread", {"spread": True}),
    )
    for spacing in ("even", "random")
]


def tenants(seed, seconds):
    """Success rates of one tenant at 10 times its rate and of seven at 80%.

    Tenants share no state in the decision code; what they share in the proxy is not
    part of this run.
    """
    loud = Scenario("loud", 50, 100, load=10.0, spacing="random", spread=True)
    quiet = loud._replace(load=0.8)
    worlds = [World(loud, seed)] + [World(quiet, seed + n) for n in range(1, 8)]
    success = [1 - world.run(seconds) for world in worlds]
    return success, worlds[0].messages / seconds


def main(argv=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args(argv)
    print("| load at 90% | refused | static split | perfect bucket | messages/s |")
    print("|---|---|---|---|---|")
    for scenario in SCENARIOS:
        world = World(scenario, options.seed)
        refused = world.run(options.seconds)
        assert world.worst > -1e-6 and not world.counts.total, scenario
        static = World(scenario, options.seed, lending=False).run(options.seconds)
        perfect = oracle(scenario, options.seed, options.seconds)
        print(
            f"| {scenario.name} | {refused:.2%} | {static:.2%} | {perfect:.2%} "
            f"| {world.messages / options.seconds:.0f} |"
        )
    success, messages = tenants(options.seed, min(options.seconds, 20.0))
    print(
        f"one tenant at 10 times its rate: success {success[0]:.2%}, "
        f"{messages:.0f} messages/s; seven others at 80% of the same rate: "
        f"{min(success[1:]):.2%} to {max(success[1:]):.2%}"
    )


if __name__ == "__main__":
    main()
