"""Repeats the measurements of docs/CAPACITY.md and rewrites its tables.

``python -m trial.capacity`` runs all of them except those that need much memory or
time; names select single ones. Each measurement runs in its own process, so that its
memory figures do not include memory that another one allocated.
"""

import argparse
import json
import pathlib
import subprocess
import sys
import time

from trial.capacity import (
    call_measurements,  # noqa: F401
    codec_measurements,  # noqa: F401
    daemon_measurements,  # noqa: F401
    gossip_measurements,  # noqa: F401
    look_up_measurements,  # noqa: F401
    page,
    registry,
    report,
    role_measurements,  # noqa: F401
)

_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "CAPACITY.md"
_VALUES = pathlib.Path(__file__).with_name("values.json")
_TIMEOUT_S = 600


def main() -> None:
    """Run the measurements given on the command line."""
    parser = argparse.ArgumentParser(prog="python -m trial.capacity")
    parser.add_argument("names", nargs="*", metavar="name")
    parser.add_argument("--child", action="store_true", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.child:
        result = registry.MEASUREMENTS[arguments.names[0]](json.load(sys.stdin))
        json.dump(result._asdict(), sys.stdout)
        return
    names = arguments.names or [
        name for name in registry.MEASUREMENTS if name not in registry.ON_DEMAND
    ]
    unknown = set(names) - set(registry.MEASUREMENTS)
    if unknown:
        parser.error(f"unknown {sorted(unknown)}; known: {list(registry.MEASUREMENTS)}")
    for name in names:
        _measure(name)


def _measure(name: str) -> None:
    # Measurements that are not part of this run keep their values of the last run.
    values = json.loads(_VALUES.read_text()) if _VALUES.exists() else {}
    started = time.monotonic()
    child = subprocess.run(
        [sys.executable, "-m", "trial.capacity", "--child", name],
        input=json.dumps(values),
        stdout=subprocess.PIPE,
        text=True,
        timeout=_TIMEOUT_S,
        check=True,
    )
    result = report.Report(**json.loads(child.stdout))
    text = page.replace_table(_PAGE.read_text(), name, result.to_markdown())
    _PAGE.write_text(text)
    values.update(result.values)
    _VALUES.write_text(json.dumps(values, indent=1, sort_keys=True) + "\n")
    print(f"{name}: {time.monotonic() - started:.1f} s")
    print(result.to_markdown(), flush=True)


if __name__ == "__main__":
    main()
