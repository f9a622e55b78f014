"""Signals of a daemon whose parent had blocked them."""

import signal
import subprocess
import sys
import threading

import pytest

# Runs a daemon that serves nothing, and prints a line once it would serve.
RUN = """
from rattanlug.daemon import run
async def serve(entry, stop):
    print("serving", flush=True)
    await stop.wait()
run.node.Node, run.serve = lambda settings: None, serve
raise SystemExit(run.run(None))
"""


def block_signals():
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT})


# Guards against a daemon that is killed with its requests, since it never sees the
# signal.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_daemon_handles_signals_that_its_parent_blocks(number):
    process = subprocess.Popen(
        [sys.executable, "-c", RUN],
        stdout=subprocess.PIPE,
        preexec_fn=block_signals,
    )
    # Ends the wait for the line.
    end = threading.Timer(10.0, process.kill)
    end.start()
    try:
        assert process.stdout.readline() == b"serving\n"
        process.send_signal(number)
        assert process.wait(5) == 0
    finally:
        end.cancel()
        process.kill()
        process.wait()
