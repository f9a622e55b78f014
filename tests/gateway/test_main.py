"""Tests of the gateway daemon as a process."""

import os
import signal
import subprocess
import sys
import time

import pytest

from trial.shared_platform import boot_file

STOP = {"grace_s": 1}


def start(tmp_path, text):
    environment = {**os.environ}
    environment.pop("RATTANLUG_BOOT", None)
    if text is not None:
        path = tmp_path / "local.toml"
        path.write_text(text)
        environment["RATTANLUG_BOOT"] = str(path)
    return subprocess.run(
        [sys.executable, "-m", "rattanlug.gateway"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
    )


@pytest.mark.parametrize(
    ("text", "expected"), [(None, "RATTANLUG_BOOT"), ("node_name = 1", "listen")]
)
def test_errors_in_the_settings_are_printed(tmp_path, text, expected):
    found = start(tmp_path, text)
    assert found.returncode == 2
    assert expected in found.stderr


def wait_for_signal_handlers(process):
    """Wait until the process ignores or handles SIGHUP."""
    end = time.monotonic() + 10
    while time.monotonic() < end:
        with open(f"/proc/{process.pid}/status") as status:
            found = dict(line.split(":\t", 1) for line in status if ":\t" in line)
        ignored = int(found["SigIgn"], 16) | int(found["SigCgt"], 16)
        if ignored >> (signal.SIGHUP - 1) & 1:
            return
        time.sleep(0.005)
    raise AssertionError("the daemon did not set a SIGHUP handler")


@pytest.mark.parametrize(
    ("signals", "code"),
    [
        # Guards against a SIGHUP that kills the process during its start or end.
        ([signal.SIGHUP, signal.SIGTERM], 0),
        ([signal.SIGTERM, signal.SIGHUP], 0),
        ([signal.SIGTERM, signal.SIGTERM], 0),
    ],
)
@pytest.mark.parametrize("pause", [0.0, 0.1, 0.2, 0.4, 0.8])
def test_signals_at_any_moment_of_a_start_end_in_an_orderly_stop(
    tmp_path, signals, code, pause
):
    path = tmp_path / "local.toml"
    path.write_text(boot_file.render("vm-1", "127.0.4.1", 9200, 9, bounds=STOP))
    process = subprocess.Popen(
        [sys.executable, "-m", "rattanlug.gateway"],
        env={**os.environ, "RATTANLUG_BOOT": str(path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
    )
    # The interpreter takes some time to start before the daemon's code runs.
    wait_for_signal_handlers(process)
    time.sleep(pause)
    for number in signals:
        process.send_signal(number)
        time.sleep(0.05)
    assert process.wait(10) == code, process.stderr.read()


@pytest.mark.parametrize("at", [0.2, 0.45, 0.7])
def test_a_reload_during_a_shutdown_is_ignored(tmp_path, at):
    path = tmp_path / "local.toml"
    path.write_text(boot_file.render("vm-1", "127.0.4.1", 9200, 9, bounds=STOP))
    process = subprocess.Popen(
        [sys.executable, "-m", "rattanlug.gateway"],
        env={**os.environ, "RATTANLUG_BOOT": str(path)},
        stdout=subprocess.DEVNULL,
    )
    time.sleep(1.5)
    process.send_signal(signal.SIGTERM)
    end = time.monotonic() + 2.0
    while process.poll() is None and time.monotonic() < end:
        process.send_signal(signal.SIGHUP)
        time.sleep(0.01 * at)
    assert process.wait(10) == 0
