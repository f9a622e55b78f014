"""Plays cases: ``python -m trial.cases [NAME ...]``."""

import argparse
import pathlib
import random
import sys
import tempfile
import time

import trio

from trial.cases import lab, registry
from trial.cases import plays as plays

_ROOT = pathlib.Path(__file__).parent.parent.parent
_MAX_SECONDS = 120.0


async def _play(name: str, root: pathlib.Path, seed: int, shows_logs: bool) -> bool:
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as directory:
        async with trio.open_nursery() as nursery:
            rng = random.Random(seed)
            played = lab.Lab(nursery, pathlib.Path(directory), root, rng)
            try:
                with trio.move_on_after(_MAX_SECONDS) as scope:
                    await registry.CASES[name](played)
                if scope.cancelled_caught:
                    played.breaches.append(f"not over after {_MAX_SECONDS:g} s")
                played.judge()
                codes = [each.process.poll() for each in played.daemons]
                memory = max((each.memory_mb() for each in played.daemons), default=0.0)
                statuses: dict[str, int] = {}
                for each in played.outcomes:
                    key = str(each.status or each.failure)
                    statuses[key] = statuses.get(key, 0) + 1
                print(
                    f"{'BREAKS' if played.breaches else 'holds'} {name} seed {seed}: "
                    f"{time.monotonic() - began:.1f} s, codes {codes}, answers "
                    f"{statuses}, {memory:.0f} MB {'; '.join(played.notes)}",
                    flush=True,
                )
                for each in played.breaches:
                    print(f"    {each}")
                if shows_logs and played.breaches:
                    for each in played.daemons:
                        print(f"--- {each.name}\n{lab.tail(each)}")
            finally:
                played.end()
            nursery.cancel_scope.cancel()
    return not played.breaches


def main() -> int:
    """Play the named cases, all of them by default; return 1 if one breaks."""
    parser = argparse.ArgumentParser(prog="python -m trial.cases")
    parser.add_argument("names", nargs="*", metavar="NAME")
    parser.add_argument("--daemon", default=str(_ROOT), help="checkout to start")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--repeat", type=int, default=1)
    parser.add_argument("--logs", action="store_true", help="print the ends of logs")
    arguments = parser.parse_args()
    names = arguments.names or [
        each for each in registry.CASES if not each.startswith("long_")
    ]
    root = pathlib.Path(arguments.daemon).absolute()
    broken = 0
    for seed in range(arguments.seed, arguments.seed + arguments.repeat):
        for name in names:
            broken += not trio.run(_play, name, root, seed, arguments.logs)
    print(f"{broken} of {len(names) * arguments.repeat} break")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
