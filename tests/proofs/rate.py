"""Checks limits of rates, seats and keys under random faults; none may fail."""

import argparse
import collections
import math

from rattanlug.keys import freshness
from rattanlug.quota import lending_bucket
from rattanlug.seats import lease, share_history, takeover
from tests.proofs import fleet

MUTANTS = {
    "takeover after 4 s": [(takeover, "TAKEOVER_S", 4.0)],
    "no reports from peers": [
        (fleet.Vm, "silence", lambda self, who, now: math.inf),
        (lease, "LEASE_S", 5.0),
    ],
    "lease of 60 s": [(lease, "LEASE_S", 60.0)],
    "newest plan at once": [(share_history, "SETTLING_S", 0.0)],
    "refill 10% too fast": [(lending_bucket, "CLOCK_MARGIN", 1.1)],
    "no freshness": [(freshness, "MAX_EVIDENCE_AGE_S", math.inf)],
}


def run_schedules(first_seed, schedules, mutant=None, stop=False):
    """Return the failing schedules and totals over all of them."""
    failing, totals = [], collections.Counter()
    with fleet.replaced(MUTANTS.get(mutant, ())):
        for seed in range(first_seed, first_seed + schedules):
            simulation = fleet.Simulation(seed)
            if simulation.run():
                failing.append((seed, simulation.failures, simulation.trace))
                if stop:
                    break
            totals["admitted"] += simulation.admitted
            totals["takeovers"] += simulation.takeovers()
            totals["withdrawals"] += simulation.withdrawals()
            for name in ("key_latency", "key_latency_in_contact"):
                totals[name] = max(totals[name], getattr(simulation, name))
    return failing, totals


def main(argv=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--schedules", type=int, default=10_000)
    parser.add_argument("--mutant", choices=sorted(MUTANTS))
    parser.add_argument("--stop", action="store_true", help="stop at the first failure")
    options = parser.parse_args(argv)
    failing, totals = run_schedules(
        options.seed, options.schedules, options.mutant, options.stop
    )
    print(f"schedules {options.schedules} from seed {options.seed}")
    print(f"failing {len(failing)}, {dict(totals)}")
    for seed, failures, trace in failing[:1]:
        print(f"seed {seed}: {failures}", *trace, sep="\n  ")
    return bool(failing)


if __name__ == "__main__":
    raise SystemExit(main())
