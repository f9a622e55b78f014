"""Checks that the executable file starts no process and writes no file.

Runs ``dist/rattanlug`` against a listener that does not answer and, while it waits,
lists its child processes, open files and mapped files. Compares the contents of the
temporary directories, the home directory and the working directory before and after.
Then runs it again under strace, which also records short-lived children and files.
Exits with 1 if there is a child, an open file other than the executable and the
standard streams, a file opened for writing, or an entry added to or removed from a
directory.
"""

import os
import pathlib
import re
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARY = ROOT / "dist" / "rattanlug"
_CHANGING = re.compile(
    r"(clone3?|fork|exec\w*|creat|mkdir\w*|mknod\w*|unlink\w*|rename\w*"
    r"|truncate|chmod\w*)\("
    r"|open\w*\(.*O_(WRONLY|RDWR|CREAT)"
)
# Time to load all modules after the connection was accepted.
_SETTLE_S = 1.0


def check(binary: pathlib.Path) -> list[str]:
    """Return the violations found while the executable runs."""
    with (
        tempfile.TemporaryDirectory() as scratch,
        socket.create_server(("127.0.0.1", 0)) as listener,
    ):
        token = pathlib.Path(scratch, "token")
        token.write_text("operator-token")
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        command = [str(binary), "status", "--vm", address, "--token-file", str(token)]
        before = _list_directories(scratch)
        process = subprocess.Popen(
            command,
            cwd=scratch,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            # No variables by which an installed Python could be found.
            env={"HOME": str(pathlib.Path.home())},
        )
        connection, _ = listener.accept()
        time.sleep(_SETTLE_S)
        violations = _inspect(process.pid, binary)
        connection.close()
        output = b"".join(process.communicate())
        print(f"exit code {process.returncode}: {output.decode().strip()}")
        after = _list_directories(scratch)
        for directory, names in before.items():
            print(f"{directory}: {len(names)} entries, then {len(after[directory])}")
            changed = names ^ after[directory]
            violations += [f"{directory}: {name} added or removed" for name in changed]
        return violations


def trace(binary: pathlib.Path) -> list[str]:
    """Return the system calls that start a program or change a file."""
    with tempfile.NamedTemporaryFile() as log:
        command = ["strace", "-f", "-qq", "-o", log.name]
        command += ["-e", "trace=process,%file"]
        command += [str(binary), "settings", "check", "/dev/null"]
        subprocess.run(command, env={}, capture_output=True, check=False)
        calls = log.read().decode().splitlines()
    # The first call is the exec by which strace starts the executable.
    violations = [each for each in calls[1:] if _CHANGING.search(each)]
    print(
        f"strace: {len(calls)} calls, "
        f"{len(violations)} start a program or change a file"
    )
    return violations


def _inspect(pid, binary):
    violations = []
    tasks = list(pathlib.Path(f"/proc/{pid}/task").iterdir())
    children = [
        pid for task in tasks for pid in (task / "children").read_text().split()
    ]
    print(f"process {pid}: {len(tasks)} thread(s), children: {children or 'none'}")
    violations += [f"child process {each}" for each in children]
    for each in sorted(pathlib.Path(f"/proc/{pid}/fd").iterdir(), key=lambda p: p.name):
        target = os.readlink(each)
        print(f"  open {each.name}: {target}")
        if target.startswith("/") and target not in (str(binary), "/dev/null"):
            violations.append(f"open file {target}")
    maps = pathlib.Path(f"/proc/{pid}/maps").read_text().splitlines()
    mapped = {line.split(None, 5)[5] for line in maps if len(line.split(None, 5)) > 5}
    in_memory = [name for name in mapped if name.startswith("/memfd:")]
    files = sorted(n for n in mapped if n.startswith("/") and n not in in_memory)
    print(f"  mapped from memory: {len(in_memory)} extension modules and libraries")
    for name in files:
        print(f"  mapped: {name}")
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    print(f"  {next(x for x in status.splitlines() if x.startswith('VmRSS'))}")
    return violations


def _list_directories(scratch):
    directories = {tempfile.gettempdir(), "/dev/shm", str(pathlib.Path.home()), scratch}
    return {directory: set(os.listdir(directory)) for directory in sorted(directories)}


if __name__ == "__main__":
    found = check(BINARY) + trace(BINARY)
    for violation in found:
        print(f"violation: {violation}")
    sys.exit(1 if found else 0)
