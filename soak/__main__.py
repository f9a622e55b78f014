"""Runs the soak: ``python -m soak --seed N --seconds S``."""

import argparse
import json
import sys

import trio

from soak import run


def main() -> int:
    """Play the runs that were asked for; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="of the first run")
    parser.add_argument("--runs", type=int, default=1, help="each with the next seed")
    parser.add_argument("--seconds", type=float, default=20.0, help="time with faults")
    parser.add_argument("--vms", type=int, default=6, help="entry daemons")
    parser.add_argument("--upstreams", type=int, default=9)
    parser.add_argument(
        "--small",
        type=float,
        default=0.0,
        help="part of a processor for the first VM, to which bursts of callers come",
    )
    parser.add_argument("--list", action="store_true", help="print all faults")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.runs):
        asked = run.Options(
            seed, options.seconds, options.vms, options.upstreams, options.small
        )
        outcome = trio.run(run.play, asked)
        failed += bool(outcome.broken)
        found = {"seed": seed, **outcome._asdict()}
        if not options.list:
            del found["injected"]
        print(json.dumps(found), flush=True)
    print(f"{options.runs - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
