"""Tests of the program that runs the daemon's interpreter."""

import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parents[2]
HANDLED = {signal.SIGHUP, signal.SIGINT, signal.SIGTERM}
# Prints the signals that are blocked when the first line runs.
PRINT_BLOCKED = """
import _signal
print(*sorted(map(int, _signal.pthread_sigmask(_signal.SIG_BLOCK, ()))))
"""


@pytest.fixture
def checkout(tmp_path):
    """Copy of the files that a build needs, without libraries to install."""
    root = tmp_path / "checkout"
    for name in ("deploy", "src"):
        ignored = shutil.ignore_patterns("__pycache__", "*.egg-info")
        shutil.copytree(ROOT / name, root / name, ignore=ignored)
    (root / "deploy" / "requirements.txt").write_text("")
    return root


def read_deploy_file(checkout):
    """Return the command of the build, and the program that runs the daemon."""
    deploy_file = tomllib.loads((checkout / "deploy" / "system.toml").read_text())
    return deploy_file["build"], deploy_file["roles"]["entry"]["run"].split()[0]


def run(checkout, program, *arguments):
    """Return what a program of the checkout prints."""
    found = subprocess.run(
        [program, "-S", *arguments],
        cwd=checkout,
        check=True,
        capture_output=True,
        text=True,
        timeout=30,
    )
    return found.stdout.strip()


# Guards against signals that end a process before its interpreter runs any code.
def test_signals_are_blocked_before_the_interpreter_runs(checkout):
    command, program = read_deploy_file(checkout)
    subprocess.run(command, shell=True, cwd=checkout, check=True)
    found = run(checkout, program, "-c", PRINT_BLOCKED)
    assert set(map(int, found.split())) == HANDLED


# Guards against a build that fails, or a script that starts the interpreter, where
# there is no compiler.
def test_without_a_compiler_the_interpreter_itself_is_run(checkout):
    (checkout / "deploy" / "launcher.c").unlink()
    command, program = read_deploy_file(checkout)
    subprocess.run(command, shell=True, cwd=checkout, check=True)
    assert (checkout / program).resolve() == pathlib.Path(sys.executable).resolve()
    version = "import sys; print(sys.version_info[:2])"
    assert run(checkout, program, "-c", version) == str(sys.version_info[:2])


# Guards against a daemon that fails to import modules, or runs those of another
# version, since a directory above the checkout holds those of another interpreter.
@pytest.mark.parametrize("has_compiler", [True, False])
def test_the_modules_of_its_interpreter_are_used(checkout, has_compiler):
    if not has_compiler:
        (checkout / "deploy" / "launcher.c").unlink()
    modules = pathlib.Path(os.__file__).parent
    other = checkout.parent / "lib" / modules.name
    other.parent.mkdir()
    other.symlink_to(modules)
    command, program = read_deploy_file(checkout)
    subprocess.run(command, shell=True, cwd=checkout, check=True)
    assert run(checkout, program, "-c", "import os; print(os.__file__)") == os.__file__


# Guards against a daemon that can't be started while its interpreter is replaced.
def test_the_program_is_replaced_in_one_step(checkout):
    command, program = read_deploy_file(checkout)
    subprocess.run(command, shell=True, cwd=checkout, check=True)
    running = subprocess.Popen(
        [program, "-S", "-c", "input()"], cwd=checkout, stdin=subprocess.PIPE
    )
    try:
        subprocess.run(command, shell=True, cwd=checkout, check=True)
        assert run(checkout, program, "-c", "print(1)") == "1"
    finally:
        running.communicate(b"\n", timeout=30)
    assert running.returncode == 0
