"""Cases of starts: settings, ports, limits, signals and standard streams."""

import os
import resource
import signal
import socket
import time

import trio

from trial.cases import lab as lab_module
from trial.cases import registry
from trial.cases.lab import FIRST_PORT

# After this time, a start without valid settings ends the process.
_SETTINGS_SECONDS = 5.0


@registry.case
async def settings_come_late(lab: lab_module.Lab) -> None:
    """Leave the file missing, empty, cut or invalid for 4 s, then complete it."""
    await lab.start()
    lab.bounds = {"grace_s": 2}
    lab.write_settings(0)
    whole = lab.settings_path(0).read_bytes()
    for first in (None, b"", whole[:300], b"\xff\xfe", b"a = [", b"node_name = 5"):
        if first is None:
            lab.settings_path(0).unlink()
        else:
            lab.settings_path(0).write_bytes(first)
        daemon = lab.start_process(0)
        await trio.sleep(4.0)
        lab.write_settings(0)
        await lab.wait_ready(daemon, 6.0)
        await lab.stop(daemon)


@registry.case
async def settings_come_very_late(lab: lab_module.Lab) -> None:
    """Leave the file missing or empty for 12 s; no start may end by itself."""
    await lab.start()
    lab.bounds = {"grace_s": 2}
    for first in (None, b""):
        if first is None:
            lab.settings_path(0).unlink(missing_ok=True)
        else:
            lab.settings_path(0).write_bytes(first)
        daemon = lab.start_process(0)
        await trio.sleep(12.0)
        if daemon.process.poll() is not None:
            lab.breaches.append(f"ended with {daemon.process.poll()}: {daemon.log!r}")
            daemon.expected = {2}
            continue
        lab.write_settings(0)
        await lab.wait_ready(daemon, 6.0)
        await lab.stop(daemon)


@registry.case
async def settings_change_under_traffic(lab: lab_module.Lab) -> None:
    """SIGHUP with a file that is missing, empty, cut, a directory or odd."""
    await lab.start()
    lab.bounds = {"grace_s": 2}
    daemon = await lab.start_daemon()
    path = lab.settings_path(0)
    whole = path.read_text()
    odd = [
        "",
        whole[: len(whole) // 2],
        "\x00" * 1000,
        "a = [" * 5000,
        whole.replace("grace_s = 2", "grace_s = -1"),
        whole.replace("grace_s = 2", "grace_s = nan"),
        whole.replace("grace_s = 2", "grace_s = 0"),
        whole.replace("contact_s = 4", "contact_s = 0"),
        whole.replace("memory_mb = 300", "memory_mb = 0"),
        whole.replace("max_fds = 1024", "max_fds = 0"),
        whole.replace("cpu_share = 1.0", "cpu_share = 0"),
        whole.replace("revoke_s = 5", "revoke_s = 0"),
        whole.replace("budget_window_s = 10", "budget_window_s = 0"),
        whole.replace("quota_window_s = 5", "quota_window_s = 0"),
        whole.replace("canary_share = 0.1", "canary_share = 0"),
        whole.replace("heartbeat_s = 1.5", "heartbeat_s = 0"),
        whole.replace("writes_per_s = 400", "writes_per_s = 0"),
        whole.replace("reads_per_s = 2000", "reads_per_s = 0"),
        whole.replace("internal_ports = [9104,9105]", "internal_ports = [1,1]"),
        whole.replace('zone = "north-a"', 'zone = "nowhere"'),
        whole.replace('region = "north"', 'region = "nowhere"'),
        whole.replace('node_name = "vm-0"', 'node_name = "other"'),
        whole.replace("ttl_max_s = 5", "ttl_max_s = 0"),
        whole.replace("max_shift = 0.15", "max_shift = 0"),
        whole.replace("cold_over = 1.5", "cold_over = 0"),
        whole.replace("[zones]", "[zones]\nx = 5"),
    ]
    async with lab.traffic([daemon], callers=6):
        for text in odd:
            path.write_text(text)
            daemon.signal(signal.SIGHUP)
            await trio.sleep(0.3)
        path.unlink()
        daemon.signal(signal.SIGHUP)
        await trio.sleep(0.3)
        path.mkdir()
        daemon.signal(signal.SIGHUP)
        await trio.sleep(0.3)
        path.rmdir()
        path.write_text(whole)
        daemon.signal(signal.SIGHUP)
        await trio.sleep(2.0)
        last = len(lab.outcomes)
        await trio.sleep(1.0)
    served = [each.status for each in lab.outcomes[last:]]
    if served.count(200) < len(served) * 0.9:
        lab.breaches.append(f"served {served.count(200)} of {len(served)} afterwards")
    await lab.stop(daemon)


@registry.case
async def odd_settings_at_start(lab: lab_module.Lab) -> None:
    """Start with bounds and limits of 0, tiny or huge."""
    await lab.start()
    lab.bounds = {"grace_s": 2}
    for changes in (
        {"bounds": {"contact_s": 0, "catch_up_s": 0}},
        {"bounds": {"retry_budget_ratio": 0, "budget_window_s": 0}},
        {"bounds": {"quota_window_s": 0, "canary_share": 0, "max_shift": 0}},
        {"bounds": {"grace_s": 0.1}},
        {"bounds": {"grace_s": 1000, "revoke_s": 1000000}},
        {"limits": {"cpu_share": 0.01}},
        {"limits": {"cores": 64}},
        {"limits": {"max_fds": 1000000}},
        {"seeds": ["127.0.0.1", "256.1.1.1", "x"]},
        {"seeds": []},
        {"data_centres": []},
    ):
        daemon = await lab.start_daemon(0, **changes)
        async with lab.traffic([daemon], callers=4):
            await trio.sleep(0.4)
        await lab.stop(daemon)


@registry.case
async def ports_taken(lab: lab_module.Lab) -> None:
    """Each port is taken for 4 s at the start, one after the other."""
    await lab.start()
    lab.bounds = {"grace_s": 2}
    for offset in (0, 1, 2, 4, 364):
        taken = socket.socket()
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        taken.bind((lab.host(0), FIRST_PORT + offset))
        taken.listen()
        datagrams = socket.socket(type=socket.SOCK_DGRAM)
        if offset == 4:
            datagrams.bind((lab.host(0), FIRST_PORT + offset))
        lab.write_settings(0)
        daemon = lab.start_process(0)
        await trio.sleep(4.0)
        if daemon.process.poll() is not None:
            lab.breaches.append(f"ended while port {offset} was taken")
        taken.close()
        datagrams.close()
        await lab.wait_ready(daemon, 6.0)
        await lab.stop(daemon)


@registry.case
async def taken_then_stopped(lab: lab_module.Lab) -> None:
    """SIGTERM and SIGHUP while a port is taken."""
    await lab.start()
    lab.bounds = {"grace_s": 2}
    taken = socket.socket()
    taken.bind((lab.host(0), FIRST_PORT + 4))
    taken.listen()
    lab.write_settings(0)
    daemon = lab.start_process(0)
    await trio.sleep(2.5)
    daemon.signal(signal.SIGHUP)
    await trio.sleep(0.2)
    await lab.stop(daemon, 3.0)
    taken.close()


@registry.case
async def resource_limits(lab: lab_module.Lab) -> None:
    """Few descriptors, small stacks, data and address space."""
    await lab.start()
    lab.bounds = {"grace_s": 2}
    lab.write_settings(0)
    for limits in (
        {resource.RLIMIT_NOFILE: 64},
        {resource.RLIMIT_NOFILE: 40},
        {resource.RLIMIT_STACK: 256 << 10},
        {resource.RLIMIT_STACK: 8 << 20},
        {resource.RLIMIT_AS: 300 << 20},
        {resource.RLIMIT_DATA: 100 << 20},
        {resource.RLIMIT_FSIZE: 0},
        {resource.RLIMIT_CORE: 0},
        {resource.RLIMIT_MEMLOCK: 0},
        {resource.RLIMIT_SIGPENDING: 0},
        {resource.RLIMIT_MSGQUEUE: 0},
    ):
        daemon = lab.start_process(0, limits)
        await lab.wait_ready(daemon, 8.0)
        async with lab.traffic([daemon], callers=4):
            await trio.sleep(0.6)
        await lab.stop(daemon)


@registry.case
async def odd_environments(lab: lab_module.Lab) -> None:
    """Close standard streams, block and ignore signals."""
    await lab.start()
    lab.bounds = {"grace_s": 2}
    lab.write_settings(0)

    def close_streams() -> None:
        for each in (0, 1, 2):
            os.close(each)

    def block_signals() -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, set(range(1, 32)))

    def ignore_signals() -> None:
        for each in (
            signal.SIGTERM,
            signal.SIGINT,
            signal.SIGHUP,
            signal.SIGPIPE,
            signal.SIGCHLD,
        ):
            signal.signal(each, signal.SIG_IGN)

    def default_pipe() -> None:
        signal.signal(signal.SIGPIPE, signal.SIG_DFL)

    for prepare in (close_streams, block_signals, ignore_signals, default_pipe):
        daemon = lab.start_process(0, prepare=prepare)
        await lab.wait_ready(daemon, 8.0)
        async with lab.traffic([daemon], callers=4):
            await trio.sleep(0.6)
        await lab.stop(daemon)


@registry.case
async def standard_error_is_full(lab: lab_module.Lab) -> None:
    """Make standard error a full pipe that nobody reads."""
    await lab.start()
    lab.bounds = {"grace_s": 2}
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    try:
        while True:
            os.write(writing, b"x" * 4096)
    except BlockingIOError:
        pass
    os.set_blocking(writing, True)
    lab.write_settings(0)
    daemon = lab.start_process(0, standard_error=writing)
    await lab.wait_ready(daemon)
    async with lab.traffic([daemon], callers=4):
        await trio.sleep(1.0)
        daemon.signal(signal.SIGHUP)
        await lab.stop(daemon)
    # Without settings, the process must end all the same.
    lab.settings_path(0).write_bytes(b"")
    daemon = lab.start_process(0, standard_error=writing)
    daemon.expected = {2}
    code = await daemon.wait(9.0)
    if code is None:
        lab.notes.append("without settings: still waits after 9 s")
        daemon.expected = {-9}
    os.close(reading)
    os.close(writing)


@registry.case
async def starts_in_a_row(lab: lab_module.Lab) -> None:
    """Three VMs start at once, six times, beside callers, and stop at once."""
    await lab.start()
    lab.bounds = {"grace_s": 2}
    for _ in range(6):
        for index in range(3):
            lab.write_settings(index)
        began = time.monotonic()
        daemons = [lab.start_process(index) for index in range(3)]
        async with lab.traffic(daemons, callers=8):
            for each in daemons:
                await lab.wait_ready(each, 10.0)
            took = time.monotonic() - began
            await trio.sleep(0.5)
            for each in daemons:
                each.signal(signal.SIGTERM)
            for each in daemons:
                if await each.wait(8.0) is None:
                    lab.breaches.append("has not ended")
        lab.notes.append(f"ready {took:.1f} s")


@registry.case
async def next_process_beside_the_last(lab: lab_module.Lab) -> None:
    """Start a next process while the one before it still stops, four times."""
    await lab.start()
    for each in lab.upstreams:
        each.work_seconds = 0.4
    daemon = await lab.start_daemon()
    for _ in range(4):
        async with lab.traffic([daemon], callers=10):
            await trio.sleep(0.5)
            daemon.signal(signal.SIGTERM)
            await trio.sleep(1.0)
            following = lab.start_process(0)
            if await daemon.wait(7.0) is None:
                lab.breaches.append("has not ended")
            await lab.wait_ready(following)
        daemon = following
    await lab.stop(daemon)


@registry.case
async def suspended_at_start(lab: lab_module.Lab) -> None:
    """SIGSTOP for 2 s at several moments of a start."""
    await lab.start()
    lab.bounds = {"grace_s": 2}
    lab.write_settings(0)
    for step in range(6):
        daemon = lab.start_process(0)
        await trio.sleep(0.15 + 0.15 * step)
        daemon.signal(signal.SIGSTOP)
        await trio.sleep(2.0)
        daemon.signal(signal.SIGCONT)
        await lab.wait_ready(daemon, 8.0)
        async with lab.traffic([daemon], callers=4):
            await trio.sleep(0.3)
        await lab.stop(daemon)
