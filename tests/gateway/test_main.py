"""Tests of starting the entry daemon as a program."""

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
    ("text", "named"), [(None, "RATTANLUG_BOOT"), ("node_name = 1", "listen")]
)
def test_what_is_wrong_with_the_settings_is_said(tmp_path, text, named):
    found = start(tmp_path, text)
    assert found.returncode == 2
    assert named in found.stderr


def wait_for_code(process):
    """Wait until the interpreter ignores the signal that a reload sends."""
    end = time.monotonic() + 10
    while time.monotonic() < end:
        with open(f"/proc/{process.pid}/status") as status:
            found = dict(line.split(":\t", 1) for line in status if ":\t" in line)
        ignored = int(found["SigIgn"], 16) | int(found["SigCgt"], 16)
        if ignored >> (signal.SIGHUP - 1) & 1:
            return
        time.sleep(0.005)
    raise AssertionError("the daemon never handled a reload")


@pytest.mark.parametrize(
    ("signals", "code"),
    [
        # Found by the soak: a reload that meets a start or an end killed the process.
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
    # The interpreter itself takes some time before any code of the daemon runs.
    wait_for_code(process)
    time.sleep(pause)
    for number in signals:
        process.send_signal(number)
        time.sleep(0.05)
    assert process.wait(10) == code, process.stderr.read()


@pytest.mark.parametrize("at", [0.2, 0.45, 0.7])
def test_a_reload_during_a_stop_does_not_end_it(tmp_path, at):
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
