"""Tests of the gateway daemon as a process."""

import fcntl
import os
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest

from rattanlug.gateway import run, settings_file
from trial.shared_platform import boot_file, loopback

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
        # Guards against a SIGINT that ends the process with an error.
        ([signal.SIGINT], 0),
        ([signal.SIGINT, signal.SIGINT], 0),
        ([signal.SIGTERM, signal.SIGINT], 0),
    ],
)
@pytest.mark.parametrize("pause", [0.0, 0.1, 0.2, 0.4, 0.8])
def test_signals_at_any_moment_of_a_start_end_in_an_orderly_stop(
    tmp_path, signals, code, pause
):
    path = tmp_path / "local.toml"
    path.write_text(boot_file.render("vm-1", loopback.host(200), 9200, 9, bounds=STOP))
    process = subprocess.Popen(
        [sys.executable, "-m", "rattanlug.gateway"],
        env={**os.environ, "RATTANLUG_BOOT": str(path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        # Otherwise an ignored SIGHUP, as under nohup, looks like the daemon's own.
        preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_DFL),
    )
    # The interpreter takes some time to start before the daemon's code runs.
    wait_for_signal_handlers(process)
    time.sleep(pause)
    for number in signals:
        process.send_signal(number)
        time.sleep(0.05)
    assert process.wait(10) == code, process.stderr.read()


# Guards against a process whose end, after an orderly stop, is a signal: the
# interpreter restores the default action of handled signals while it exits.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
@pytest.mark.parametrize("pause", [0.0, 0.005, 0.01, 0.015, 0.02])
def test_a_signal_after_the_last_log_line_is_ignored(tmp_path, number, pause):
    process = start_in_background(tmp_path)
    wait_until_serving()
    process.terminate()
    while "stopped" not in (line := process.stdout.readline()):
        assert line, "the daemon did not log its end"
    time.sleep(pause)
    process.send_signal(number)
    assert process.wait(10) == 0


# Test runs at the same time have addresses of their own.
HOST, FIRST_PORT = f"127.5.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}", 9220


def hold(port, kind=socket.SOCK_STREAM):
    """Take a port of the daemon, as its previous process does until it ends."""
    held = socket.socket(socket.AF_INET, kind)
    held.bind((HOST, port))
    if kind == socket.SOCK_STREAM:
        held.listen()
    return held


def is_serving():
    try:
        socket.create_connection((HOST, FIRST_PORT), 1.0).close()
    except OSError:
        return False
    return True


def wait_until_serving():
    end = time.monotonic() + 10
    while not is_serving():
        assert time.monotonic() < end, "the daemon does not accept connections"
        time.sleep(0.02)


def start_in_background(
    tmp_path, bounds=STOP, program=("rattanlug.gateway",), **options
):
    path = tmp_path / "local.toml"
    path.write_text(boot_file.render("vm-1", HOST, FIRST_PORT, 9, bounds=bounds))
    return subprocess.Popen(
        [sys.executable, "-m", *program],
        env={**os.environ, "RATTANLUG_BOOT": str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        **options,
    )


# Guards against a daemon that ends at its start, or writes its log lines to a socket,
# because it was started without the standard streams.
@pytest.mark.parametrize("closed", [(0,), (1,), (2,), (0, 1, 2)])
def test_a_daemon_serves_without_the_standard_streams(tmp_path, closed):
    def close():
        for descriptor in closed:
            os.close(descriptor)

    process = start_in_background(tmp_path, preexec_fn=close)
    try:
        wait_until_serving()
        targets = [os.readlink(f"/proc/{process.pid}/fd/{each}") for each in closed]
        assert targets == ["/dev/null"] * len(closed)
    finally:
        process.terminate()
    assert process.wait(10) == 0


# Guards against a daemon that ends at its start because its previous process has not
# ended yet, or because another program has one of its ports.
@pytest.mark.parametrize(
    ("offset", "kind"),
    [
        (boot_file.CALLERS, socket.SOCK_STREAM),
        (boot_file.READINESS, socket.SOCK_STREAM),
        (boot_file.PEERS, socket.SOCK_STREAM),
        (boot_file.PEERS, socket.SOCK_DGRAM),
    ],
)
def test_a_daemon_waits_for_its_ports(tmp_path, offset, kind):
    with hold(FIRST_PORT + offset, kind):
        process = start_in_background(tmp_path)
        try:
            while "unavailable" not in (line := process.stdout.readline()):
                assert line, "the daemon ended"
        except AssertionError:
            process.kill()
            raise
    wait_until_serving()
    process.terminate()
    assert process.wait(10) == 0


# Guards against callers that wait for a VM which cannot serve them yet: after a refused
# connection, they try another VM at once.
@pytest.mark.parametrize(
    ("offset", "kind"),
    [
        (boot_file.READINESS, socket.SOCK_STREAM),
        (boot_file.LOOKUPS, socket.SOCK_STREAM),
        (boot_file.PEERS, socket.SOCK_STREAM),
        (boot_file.PEERS, socket.SOCK_DGRAM),
    ],
)
def test_callers_are_refused_while_another_port_is_missing(tmp_path, offset, kind):
    with hold(FIRST_PORT + offset, kind):
        process = start_in_background(tmp_path)
        while "unavailable" not in (line := process.stdout.readline()):
            assert line, "the daemon ended"
        time.sleep(0.3)
        was_serving = is_serving()
    wait_until_serving()
    process.terminate()
    assert process.wait(10) == 0
    assert not was_serving


def test_a_daemon_that_waits_for_a_port_can_be_stopped(tmp_path):
    with hold(FIRST_PORT):
        process = start_in_background(tmp_path)
        while "unavailable" not in (line := process.stdout.readline()):
            assert line, "the daemon ended"
        process.terminate()
        assert process.wait(10) == 0


def test_a_daemon_serves_while_another_program_has_its_metrics_port(tmp_path):
    with hold(run.METRICS_PORT):
        process = start_in_background(tmp_path)
        wait_until_serving()
        process.terminate()
        assert process.wait(10) == 0


def block_signals():
    signal.pthread_sigmask(
        signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
    )


# Guards against a daemon that never sees its signals, and is killed with its requests,
# because its parent had blocked them when it started it.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("program", [("rattanlug.gateway",), ("rattanlug", "gateway")])
def test_a_daemon_handles_signals_that_its_parent_blocks(tmp_path, program, number):
    process = start_in_background(tmp_path, program=program, preexec_fn=block_signals)
    # Ends the wait for a line.
    end = threading.Timer(10.0, process.kill)
    try:
        wait_until_serving()
        (tmp_path / "local.toml").write_text("a = ")
        process.send_signal(signal.SIGHUP)
        end.start()
        while "rejected" not in (line := process.stdout.readline()):
            assert line, "the daemon did not reload its settings"
        process.send_signal(number)
        assert process.wait(3) == 0
    finally:
        end.cancel()
        process.kill()
        process.wait()


# Guards against a start that can't be ended but by force, because its parent had
# blocked the signals.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_daemon_without_settings_handles_signals_that_its_parent_blocks(
    tmp_path, number
):
    process = subprocess.Popen(
        [sys.executable, "-m", "rattanlug.gateway"],
        env={**os.environ, "RATTANLUG_BOOT": str(tmp_path / "missing.toml")},
        stdout=subprocess.DEVNULL,
        preexec_fn=block_signals,
    )
    try:
        wait_for_signal_handlers(process)
        process.send_signal(number)
        assert process.wait(3) == 0
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize("at", [0.2, 0.45, 0.7])
def test_a_reload_during_a_shutdown_is_ignored(tmp_path, at):
    path = tmp_path / "local.toml"
    path.write_text(boot_file.render("vm-1", loopback.host(200), 9200, 9, bounds=STOP))
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


# Guards against a daemon that ends because its settings are written while it starts.
@pytest.mark.parametrize("first", [None, "", "node_name = "])
def test_a_daemon_waits_for_its_settings(tmp_path, first):
    path = tmp_path / "local.toml"
    if first is not None:
        path.write_text(first)
    process = subprocess.Popen(
        [sys.executable, "-m", "rattanlug.gateway"],
        env={**os.environ, "RATTANLUG_BOOT": str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    assert "waiting for the settings" in process.stdout.readline()
    path.write_text(boot_file.render("vm-1", HOST, FIRST_PORT, 9, bounds=STOP))
    wait_until_serving()
    process.terminate()
    assert process.wait(10) == 0


# Guards against a daemon that ends by itself, and is started again only to end again,
# while the platform can't write its settings.
@pytest.mark.parametrize("first", [None, "", "node_name = "])
def test_a_daemon_waits_for_settings_that_come_very_late(tmp_path, first):
    path = tmp_path / "local.toml"
    if first is not None:
        path.write_text(first)
    process = subprocess.Popen(
        [sys.executable, "-m", "rattanlug.gateway"],
        env={**os.environ, "RATTANLUG_BOOT": str(path)},
        stdout=subprocess.DEVNULL,
    )
    with pytest.raises(subprocess.TimeoutExpired):
        process.wait(settings_file.MAX_WAIT_SECONDS + 2.0)
    path.write_text(boot_file.render("vm-1", HOST, FIRST_PORT, 9, bounds=STOP))
    wait_until_serving()
    process.terminate()
    assert process.wait(10) == 0


# Guards against a reload that ends the daemon.
def test_invalid_settings_at_a_reload_are_logged_and_ignored(tmp_path):
    process = start_in_background(tmp_path)
    wait_until_serving()
    path = tmp_path / "local.toml"
    text = path.read_text()
    for data in (
        b"\xff\xfe",
        b"a = " + b"[" * 5000,
        text.replace("revoke_s = 5", 'revoke_s = "x"').encode(),
        b"",
    ):
        path.write_bytes(data)
        process.send_signal(signal.SIGHUP)
        while "rejected" not in (line := process.stdout.readline()):
            assert line, "the daemon ended"
    assert is_serving()
    process.terminate()
    assert process.wait(10) == 0


# Guards against requests that are accepted too late to be finished before the platform
# kills the daemon: the grace period counts from the sending of the signal.
@pytest.mark.parametrize("stall", [0.0, 1.0])
def test_the_grace_period_counts_from_the_signal_of_a_stalled_daemon(tmp_path, stall):
    process = start_in_background(tmp_path, {"grace_s": 4})
    try:
        wait_until_serving()
        time.sleep(0.5)
        if stall:
            process.send_signal(signal.SIGSTOP)
        sent_at = time.monotonic()
        process.terminate()
        time.sleep(stall)
        process.send_signal(signal.SIGCONT)
        while is_serving():
            time.sleep(0.02)
        # Without a state, 1 s is reserved for the longest timeout.
        expected = 3.0 - run.EXIT_MARGIN_SECONDS - run.FINISH_MARGIN_SECONDS
        assert expected - 0.2 < time.monotonic() - sent_at < expected + 0.3
        assert process.wait(10) == 0
    finally:
        process.kill()


def open_full_pipe():
    """Return the ends of a pipe to which nothing can be written without blocking."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    os.write(writer, b"x" * fcntl.fcntl(writer, fcntl.F_GETPIPE_SZ))
    return reader, writer


# Guards against a daemon that waits for the reader of its standard error, or that ends
# with an error because it can't write there, when its settings come late.
@pytest.mark.parametrize("has_reader", [True, False])
@pytest.mark.parametrize("streams", [("stdout",), ("stderr",), ("stdout", "stderr")])
def test_a_daemon_that_waits_for_its_settings_needs_no_reader(
    tmp_path, streams, has_reader
):
    path, complete = tmp_path / "local.toml", tmp_path / "complete.toml"
    complete.write_text(boot_file.render("vm-1", HOST, FIRST_PORT, 9, bounds=STOP))
    os.mkfifo(path)
    reader, writer = open_full_pipe()
    if not has_reader:
        os.close(reader)
    outputs = dict.fromkeys(("stdout", "stderr"), subprocess.DEVNULL)
    process = subprocess.Popen(
        [sys.executable, "-m", "rattanlug.gateway"],
        # Without PYTHONUNBUFFERED, which hides errors of buffered streams.
        env={"RATTANLUG_BOOT": str(path), "PYTHONPATH": os.pathsep.join(sys.path)},
        **{**outputs, **dict.fromkeys(streams, writer)},
    )
    try:
        # Returns when the daemon opens the file.
        with path.open("w") as incomplete:
            incomplete.write("node_name = ")
            complete.replace(path)
        wait_until_serving()
        process.terminate()
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()
        os.close(writer)
        if has_reader:
            os.close(reader)


# Guards against a daemon that changes the pipe of its parent, whose lines then fail.
def test_a_daemon_leaves_the_mode_of_a_shared_pipe(tmp_path):
    reader, writer = os.pipe()
    path = tmp_path / "local.toml"
    path.write_text(boot_file.render("vm-1", HOST, FIRST_PORT, 9, bounds=STOP))
    process = subprocess.Popen(
        [sys.executable, "-m", "rattanlug.gateway"],
        env={**os.environ, "RATTANLUG_BOOT": str(path)},
        stdout=writer,
    )
    wait_until_serving()
    is_blocking = os.get_blocking(writer)
    process.terminate()
    assert process.wait(10) == 0
    assert is_blocking
    assert b"stopped" in os.read(reader, 1 << 16)
    os.close(reader)
    os.close(writer)


# Runs the daemon with settings that are rewritten after they were read.
REWRITE_SETTINGS = """
import pathlib, sys
from rattanlug.gateway import run, settings_file
from rattanlug.logs import setup
path = sys.argv[1]
settings = settings_file.read_when_complete(path)
pathlib.Path(path).write_text(sys.argv[2])
setup.configure("INFO", settings.vm, to_standard_output=True)
sys.exit(run.run(settings, path))
"""


# Guards against a daemon that keeps old settings, since it ignores SIGHUP from its
# first moment until its own handlers are installed.
@pytest.mark.parametrize(
    ("bounds", "expected"),
    [({"grace_s": 2}, '"changed": ["bounds"]'), (None, "rejected")],
)
def test_settings_that_change_while_a_daemon_starts_apply(tmp_path, bounds, expected):
    path = tmp_path / "local.toml"
    first, second = (
        each and boot_file.render("vm-1", HOST, FIRST_PORT, 9, bounds=each)
        for each in (STOP, bounds)
    )
    path.write_text(first)
    process = subprocess.Popen(
        [sys.executable, "-c", REWRITE_SETTINGS, str(path), second or "a = "],
        stdout=subprocess.PIPE,
        text=True,
    )
    wait_until_serving()
    process.terminate()
    assert expected in process.communicate(timeout=10)[0]
    assert process.returncode == 0


# Guards against a daemon that counts with an old grace period at its stop, and is
# killed with requests in flight, because its settings changed without a SIGHUP.
def test_a_stop_counts_with_the_grace_period_in_the_settings_file(tmp_path):
    process = start_in_background(tmp_path, {"grace_s": 6})
    try:
        wait_until_serving()
        (tmp_path / "local.toml").write_text(
            boot_file.render("vm-1", HOST, FIRST_PORT, 9, bounds={"grace_s": 2})
        )
        process.terminate()
        assert process.wait(2.0) == 0
        assert '"changed": ["bounds"]' in process.stdout.read()
    finally:
        process.kill()
        process.wait()
