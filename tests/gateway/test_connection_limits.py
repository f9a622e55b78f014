"""Tests of the limits on connections."""

import contextlib
import resource
import socket
import subprocess
import sys
import time

import pytest

from rattanlug.gateway import connection_limits, run
from trial.shared_platform import boot_file, loopback


@pytest.mark.parametrize("limit", [60, 100, 256, 1024, 4100, 1 << 20])
def test_descriptors_are_left_for_all_other_connections(limit):
    found = connection_limits.connection_limits(limit)
    left = limit - sum(found) - connection_limits.RESERVED_DESCRIPTORS
    assert min(found) >= 1
    assert left >= min(found.callers, connection_limits.MAX_UPSTREAM_DESCRIPTORS)


def get_status(host, port):
    with socket.create_connection((host, port), 2.0) as caller:
        caller.settimeout(2.0)
        caller.sendall(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
        return caller.recv(12)


# Guards against callers whose connections take all descriptors, so that readiness
# checks fail until they close.
def test_readiness_checks_are_answered_beside_more_callers_than_descriptors(tmp_path):
    limit, host = 60, loopback.host(202)
    path = tmp_path / "local.toml"
    limits = {"max_fds": limit}
    path.write_text(boot_file.render("vm-1", host, 9200, 9, limits=limits))
    process = subprocess.Popen(
        [sys.executable, "-m", "rattanlug.gateway"],
        env={"RATTANLUG_BOOT": str(path), "PYTHONPATH": ":".join(sys.path)},
        stdout=subprocess.DEVNULL,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)),
    )
    address = (host, 9200 + boot_file.CALLERS)
    with contextlib.ExitStack() as callers:
        callers.callback(process.wait)
        callers.callback(process.kill)
        while process.poll() is None:
            with contextlib.suppress(OSError):
                # The listener that is opened last.
                get_status(host, 9200 + boot_file.LOOKUPS)
                break
            time.sleep(0.02)
        opened = [
            callers.enter_context(socket.create_connection(address, 2.0))
            for _ in range(2 * limit)
        ]
        for each in 4 * (boot_file.READINESS, boot_file.LOOKUPS):
            assert get_status(host, 9200 + each).startswith(b"HTTP/1.1 ")
        # Callers beyond the limit are rejected, and don't wait for those before them.
        opened[-1].settimeout(2.0)
        with contextlib.suppress(ConnectionResetError):
            assert opened[-1].recv(1) == b""


def memory_mb(process):
    with open(f"/proc/{process.pid}/status") as status:
        found = dict(line.split(":\t", 1) for line in status if ":\t" in line)
    return int(found["VmHWM"].split()[0]) / 1024


# Guards against a process that the platform kills for its memory, or that accepts no
# caller any more, because of what others send to its ports for VMs and metrics.
@pytest.mark.parametrize("port", [9200 + boot_file.PEERS, run.METRICS_PORT])
def test_connections_to_internal_ports_use_up_neither_memory_nor_descriptors(
    tmp_path, port
):
    limit, host, connections = 320, loopback.host(203), 400
    path = tmp_path / "local.toml"
    limits = {"max_fds": limit}
    path.write_text(boot_file.render("vm-1", host, 9200, 9, limits=limits))
    process = subprocess.Popen(
        [sys.executable, "-m", "rattanlug.gateway"],
        env={"RATTANLUG_BOOT": str(path), "PYTHONPATH": ":".join(sys.path)},
        stdout=subprocess.DEVNULL,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)),
    )
    with contextlib.ExitStack() as opened:
        opened.callback(process.wait)
        opened.callback(process.kill)
        while process.poll() is None:
            with contextlib.suppress(OSError):
                get_status(host, 9200 + boot_file.CALLERS)
                get_status(host, run.METRICS_PORT)
                break
            time.sleep(0.02)
        # A frame, and a head, whose end doesn't come.
        data = b"\x00\x0f\xff\xff" + b"x" * 1_000_000
        if port == run.METRICS_PORT:
            data = b"GET /"
        for _ in range(connections):
            each = opened.enter_context(socket.create_connection((host, port), 2.0))
            each.settimeout(0.5)
            with contextlib.suppress(OSError):
                each.sendall(data)
        for each in (boot_file.READINESS, boot_file.LOOKUPS, boot_file.CALLERS):
            assert get_status(host, 9200 + each).startswith(b"HTTP/1.1 ")
        assert memory_mb(process) < 150
