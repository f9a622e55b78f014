"""Tests of the daemon's start, as the platform does it, until signals are handled."""

import contextlib
import pathlib
import signal
import socket
import subprocess
import sys
import sysconfig
import time
import tomllib

from trial.shared_platform import boot_file, loopback

ROOT = pathlib.Path(__file__).parents[2]
# Runs a script until it has set three signal handlers, and prints what was imported.
RECORD_IMPORTS = """
import _signal, posix, sys, _io
before, handled, set_handler = set(sys.modules), set(), _signal.signal
def record(number, handler):
    handled.add(int(number))
    set_handler(number, handler)
    if len(handled) == 3:
        imported = set(sys.modules) - before - set(sys.builtin_module_names)
        text = f"{sorted(handled)} {sorted(imported)}"
        posix.write(1, text.encode())
        posix._exit(0)
_signal.signal = record
path = sys.argv[1]
with _io.open(path) as file:
    code = compile(file.read(), path, "exec")
exec(code, {"__name__": "__main__", "__file__": path})
"""


def read_command():
    """Return the interpreter's options and the script, as a file of the checkout."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        run = tomllib.load(file)["roles"]["entry"]["run"]
    program, *options, script = run.split()
    assert program == "target/python3"
    return options, ROOT / "src" / pathlib.Path(script).relative_to("target/deps")


# Guards against a SIGHUP or SIGTERM that ends a process which has just been created:
# reading modules from files takes longer than the start of the interpreter itself.
def test_signals_are_handled_before_any_module_is_read_from_a_file():
    options, script = read_command()
    found = subprocess.run(
        [sys.executable, *options, "-c", RECORD_IMPORTS, str(script)],
        capture_output=True,
        text=True,
        timeout=30,
    )
    handled = sorted(map(int, (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)))
    assert found.stdout == f"{handled} []", found.stderr
    assert {"-S", "-P"} <= set(options), "site reads more files than the daemon itself"


# Guards against libraries that are only found with site or with an import path.
def test_a_daemon_serves_when_started_by_the_command_of_the_platform(tmp_path):
    options, script = read_command()
    root = tmp_path / "deps"
    root.mkdir()
    for each in (script.parents[2], pathlib.Path(sysconfig.get_path("purelib"))):
        for entry in each.iterdir():
            (root / entry.name).symlink_to(entry)
    host = loopback.host(201)
    settings = tmp_path / "local.toml"
    settings.write_text(boot_file.render("vm-1", host, 9200, 9, bounds={"grace_s": 1}))
    process = subprocess.Popen(
        [sys.executable, *options, root / script.relative_to(script.parents[2])],
        env={"RATTANLUG_BOOT": str(settings)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
    )
    try:
        while process.poll() is None:
            with contextlib.suppress(OSError):
                socket.create_connection((host, 9200), 1.0).close()
                break
            time.sleep(0.02)
    finally:
        process.terminate()
    assert process.wait(10) == 0, process.stderr.read()
