"""Runs the soak test: ``python -m soak --seed N --seconds S``.

The exit code is 0 if all runs passed, 1 if one failed, and 2 if one had no verdict: the
soak itself had an error, or was short of a processor.
"""

import argparse
import collections
import json
import sys
import traceback

import trio

from soak import erring_daemon, run, sites

_EXIT_CODES = {"passed": 0, "no verdict": 2, "failed": 1}


def main() -> int:
    """Execute the requested runs; return the exit code."""
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
    parser.add_argument(
        "--planned",
        action="store_true",
        help="play planned work in calm and no faults",
    )
    parser.add_argument(
        "--beside",
        default="",
        help=f"further impairments: {', '.join(run.BESIDE)}",
    )
    parser.add_argument(
        "--errors",
        default="",
        help=f"errors on purpose: {', '.join(erring_daemon.ERRORS)}",
    )
    parser.add_argument(
        "--error-interval",
        type=float,
        default=60.0,
        help="time from one error of a kind to the next, in seconds",
    )
    parser.add_argument(
        "--errors-after",
        type=float,
        default=0.0,
        help="time at the begin without errors on purpose, in seconds",
    )
    parser.add_argument("--list", action="store_true", help="print the injected faults")
    options = parser.parse_args()
    if options.planned and not options.site:
        parser.error("planned work is that of a site")
    if unknown := set(filter(None, options.beside.split(","))) - run.BESIDE.keys():
        parser.error(f"unknown impairments: {', '.join(sorted(unknown))}")
    verdicts: collections.Counter[str] = collections.Counter()
    tallied: collections.Counter[str] = collections.Counter()
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
            options.planned,
            options.errors,
            options.error_interval,
            options.errors_after,
            options.beside,
        )
        try:
            outcome = trio.run(run.execute, run_options)
        except Exception as exc:
            traceback.print_exc()
            verdicts["no verdict"] += 1
            failure = f"{type(exc).__name__}: {exc}"
            error_result = {"seed": seed, "verdict": "no verdict", "error": failure}
            print(json.dumps(error_result), flush=True)
            continue
        verdicts[outcome.verdict] += 1
        tallied.update(outcome.tally)
        parts = {name: each._asdict() for name, each in outcome.parts.items()}
        result = {"seed": seed, **outcome._asdict(), "parts": parts}
        if not options.list:
            del result["injected"]
        print(json.dumps(result), flush=True)
    for name, count in tallied.items():
        print(f"{count} {name} in {sum(verdicts.values())} runs")
    print(", ".join(f"{verdicts[each]} {each}" for each in _EXIT_CODES))
    return next(
        (_EXIT_CODES[each] for each in ("failed", "no verdict") if verdicts[each]), 0
    )


if __name__ == "__main__":
    sys.exit(main())
