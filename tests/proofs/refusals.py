"""Compares false rejections within a rate with those of a static split of it."""

import argparse
import random
from typing import NamedTuple

from rattanlug.invariants import violations
from rattanlug.quota import quota
from rattanlug.seats import held_seat
from tests.proofs import clock

DATA_CENTRES = 6
VMS = 12
# The load starts when the buckets have filled; its first 5 s are not measured.
START_S = 5.0
WARM_UP_S = 5.0


class Scenario(NamedTuple):
    """Load of one organisation.

    ``load`` is relative to the rate. The load moves to another VM every ``shift_s``
    seconds (0: never), or each request goes to a random VM if ``spread`` is set.
    """

    name: str
    rate: float
    burst: float
    load: float = 0.9
    spacing: str = "even"
    shift_s: float = 0.0
    spread: bool = False


class Vm:
    """The adapter around one quota, which sends the messages that it plans."""

    def __init__(self, simulation, index):
        self.simulation, self.index = simulation, index
        self.clock = clock.Clock(simulation.queue, simulation.rng)
        start = self.clock.now()
        seat = held_seat.HeldSeat(f"dc/{index}", 1, 1 / VMS, start + 1.1, start)
        self.quota = quota.OrganisationQuota(
            simulation.scenario.rate,
            simulation.scenario.burst,
            lambda now: (seat,),
            simulation.counts,
        )
        self.waiting = []
        simulation.queue.call_later(simulation.rng.uniform(0, 0.02), self.tick)

    def request(self):
        if self.quota.try_admit(self.clock.now()):
            self.simulation.admitted()
        elif not self.simulation.lending:
            self.simulation.rejected()
        else:
            self.quota.begin_waiting()
            self.waiting.append(self.simulation.queue.now + quota.MAX_WAIT_S)
            self.send()

    def tick(self):
        self.drain()
        self.send()
        self.simulation.queue.call_later(0.02, self.tick)

    def drain(self):
        while self.waiting and self.quota.admit_waiting(self.clock.now()):
            self.waiting.pop(0)
            self.simulation.admitted()
        while self.waiting and self.waiting[0] <= self.simulation.queue.now:
            self.waiting.pop(0)
            self.quota.stop_waiting()
            self.simulation.rejected()

    def send(self):
        if not self.simulation.lending:
            return
        now = self.clock.now()
        peers = {str(i): 1 for i in range(VMS) if i != self.index}
        for message in self.quota.plan_borrowing(now, peers):
            peer = self.simulation.vms[int(message.vm)]
            self.simulation.messages += 1
            delay = self.simulation.delay(self, peer)
            self.simulation.queue.call_later(
                delay, peer.serve, self, message, now, delay
            )

    def serve(self, borrower, message, asked_at, delay):
        self.quota.settle(message.settlements, self.clock.now())
        loans = ()
        if message.tokens:
            loans = self.quota.lend(message.tokens, self.clock.now())
            self.simulation.queue.call_later(
                delay, borrower.handle_loans, message.vm, loans, asked_at
            )

    def handle_loans(self, vm, loans, asked_at):
        self.quota.accept(vm, loans, asked_at, self.clock.now())
        self.drain()
        if self.waiting:
            self.send()


class Simulation:
    """Twelve VMs in three regions, 55 ms apart, without faults."""

    def __init__(self, scenario, seed, lending=True):
        self.scenario, self.lending = scenario, lending
        self.rng = random.Random(seed)
        self.queue = clock.EventQueue()
        self.counts = violations.Violations()
        self.outcomes = {True: 0, False: 0}
        self.messages = 0
        self.level, self.level_at, self.min_level = scenario.burst, 0.0, 0.0
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
        self.min_level = min(self.min_level, self.level)
        self._count(True)

    def rejected(self):
        self._count(False)

    def _count(self, success):
        if self.queue.now >= START_S + WARM_UP_S:
            self.outcomes[success] += 1

    def run(self, seconds):
        per_second = self.scenario.rate * self.scenario.load
        time, seconds = START_S, START_S + seconds
        while time < seconds:
            even = self.scenario.spacing == "even"
            time += 1 / per_second if even else self.rng.expovariate(per_second)
            shift = self.scenario.shift_s
            target = int(time / shift) * 5 % VMS if shift else 0
            if self.scenario.spread:
                target = self.rng.randrange(VMS)
            self.queue.call_at(time, self.vms[target].request)
        self.queue.run(seconds)
        total = sum(self.outcomes.values())
        return self.outcomes[False] / total


def ideal_rejection_rate(scenario, seed, seconds):
    """Return the share of requests that one central token bucket rejects."""
    rng = random.Random(seed)
    per_second = scenario.rate * scenario.load
    level, time, rejected, total = scenario.burst, 0.0, 0, 0
    while time < seconds:
        gap = 1 / per_second
        if scenario.spacing != "even":
            gap = rng.expovariate(per_second)
        time += gap
        level = min(scenario.burst, level + gap * scenario.rate)
        if time >= WARM_UP_S:
            total += 1
            rejected += level < 1
        level -= level >= 1
    return rejected / total


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


def noisy_neighbour(seed, seconds):
    """Return success rates of an organisation at 10 times its rate and of 7 at 80%.

    Organisations share no state in the decision code; what they share in the proxy is
    not part of this simulation. Also returns the messages/s of the first organisation.
    """
    noisy = Scenario("noisy", 50, 100, load=10.0, spacing="random", spread=True)
    normal = noisy._replace(load=0.8)
    simulations = [Simulation(noisy, seed)] + [
        Simulation(normal, seed + n) for n in range(1, 8)
    ]
    success = [1 - simulation.run(seconds) for simulation in simulations]
    return success, simulations[0].messages / seconds


def main(argv=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args(argv)
    print("| load at 90% | refused | static split | perfect bucket | messages/s |")
    print("|---|---|---|---|---|")
    for scenario in SCENARIOS:
        simulation = Simulation(scenario, options.seed)
        rejected = simulation.run(options.seconds)
        assert simulation.min_level > -1e-6 and not simulation.counts.total, scenario
        static = Simulation(scenario, options.seed, lending=False).run(options.seconds)
        perfect = ideal_rejection_rate(scenario, options.seed, options.seconds)
        print(
            f"| {scenario.name} | {rejected:.2%} | {static:.2%} | {perfect:.2%} "
            f"| {simulation.messages / options.seconds:.0f} |"
        )
    success, messages = noisy_neighbour(options.seed, min(options.seconds, 20.0))
    print(
        f"one organisation at 10 times its rate: success {success[0]:.2%}, "
        f"{messages:.0f} messages/s; seven others at 80% of the same rate: "
        f"{min(success[1:]):.2%} to {max(success[1:]):.2%}"
    )


if __name__ == "__main__":
    main()
