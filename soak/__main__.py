"""Runs the soak test: ``python -m soak --seed N --seconds S``."""

import argparse
import json
import sys

import trio

from soak import run, sites


def main() -> int:
    """Execute the requested runs; return 1 if a guarantee was violated in any."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of the first run")
    parser.add_argument(
        "--runs", type=int, default=1, help="number of runs; each uses the next seed"
    )
    parser.add_argument(
        "--seconds",
        type=float,
        default=20.0,
        help="duration of fault injection, in seconds",
    )
    parser.add_argument("--vms", type=int, default=6, help="number of gateway VMs")
    parser.add_argument("--upstreams", type=int, default=9)
    parser.add_argument(
        "--small",
        type=float,
        default=0.0,
        help="CPU share (0 to 1) of the first VM, which receives all bursts",
    )
    parser.add_argument(
        "--site", choices=sorted(sites.SITES), default="", help="deployment to play"
    )
    parser.add_argument(
        "--only", default="", help="parts of the names of the faults that are played"
    )
    parser.add_argument(
        "--rate",
        type=float,
        default=1.0,
        help="part of a site's requests that callers send, for a busy machine",
    )
    parser.add_argument(
        "--daemon",
        default="",
        metavar="CHECKOUT",
        help="checkout whose daemon is played, for instance of an earlier version",
    )
    parser.add_argument("--list", action="store_true", help="print the injected faults")
    options = parser.parse_args()
    failed_runs = 0
    for seed in range(options.seed, options.seed + options.runs):
        run_options = run.Options(
            seed,
            options.seconds,
            options.vms,
            options.upstreams,
            options.small,
            options.site,
            options.only,
            options.rate,
            options.daemon,
        )
        outcome = trio.run(run.execute, run_options)
        failed_runs += bool(outcome.broken)
        result = {"seed": seed, **outcome._asdict()}
        if not options.list:
            del result["injected"]
        print(json.dumps(result), flush=True)
    print(f"{options.runs - failed_runs} passed, {failed_runs} failed")
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
