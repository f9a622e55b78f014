"""Builds the daemon into ``target``: its interpreter, its libraries and the package.

Daemons may start while this runs, for instance those of another deployment that uses
the same checkout. So no file of the package is ever missing or incomplete: each one is
replaced in one step, and only if it has changed. What is built is readable for other
users, whatever the umask, since a daemon may run as another user than the build.
"""

import compileall
import contextlib
import fcntl
import filecmp
import importlib.util
import os
import pathlib
import platform
import shutil
import stat
import subprocess
import sys
import sysconfig
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = "rattanlug"
LAUNCHER = ROOT / "deploy" / "launcher.c"
_CACHE = "__pycache__"
_READ = stat.S_IRUSR | stat.S_IRGRP | stat.S_IROTH
_READ_DIRECTORY = _READ | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH
# Of the caller's umask, only these bits apply.
_WRITE_BY_OTHERS = stat.S_IWGRP | stat.S_IWOTH


def sync(source: pathlib.Path, target: pathlib.Path) -> None:
    """Make a directory equal to another one, file by file.

    Parameters
    ----------
    source, target : pathlib.Path
        Directories; ``target`` is created if it doesn't exist. Compiled files in it are
        kept.

    Raises
    ------
    OSError
    """
    target.mkdir(parents=True, exist_ok=True)
    wanted = {each.name for each in source.iterdir() if each.name != _CACHE}
    for name in sorted(wanted):
        if (source / name).is_dir():
            sync(source / name, target / name)
        else:
            _replace(source / name, target / name)
    for each in target.iterdir():
        if each.name in wanted or each.name == _CACHE:
            continue
        if each.is_dir():
            shutil.rmtree(each)
        else:
            each.unlink()


def _replace(source: pathlib.Path, target: pathlib.Path) -> None:
    if target.is_file() and filecmp.cmp(source, target, shallow=False):
        return
    incomplete = target.with_name(f".{target.name}.new")
    shutil.copyfile(source, incomplete)
    os.replace(incomplete, target)
    # Python takes a compiled file for current if size and time match, the time in whole
    # seconds.
    compiled = pathlib.Path(importlib.util.cache_from_source(str(target)))
    compiled.unlink(missing_ok=True)


def install_libraries(requirements: pathlib.Path, target: pathlib.Path) -> None:
    """Install the libraries, unless they are there already.

    Libraries of another kind of machine or Python, in a directory that was copied, are
    installed anew.

    Raises
    ------
    subprocess.CalledProcessError
    """
    built = target / ".built"
    wanted = f"{platform.machine()} {sys.version}\n{requirements.read_text()}"
    if built.is_file() and built.read_text() == wanted:
        return
    command = [sys.executable, "-m", "pip", "install", "-q", "-U"]
    command += ["--target", str(target), "-r", str(requirements)]
    subprocess.run(command, check=True)
    built.write_text(wanted)


def install_interpreter(target: pathlib.Path) -> None:
    """Make the program that runs the daemon.

    It blocks the daemon's signals before it loads the interpreter. Without a compiler,
    or the interpreter's shared library, it is a link to the interpreter, which handles
    them some milliseconds later. In neither case is it a script that is found by the
    search path, which would take longer to start the interpreter.

    Parameters
    ----------
    target : pathlib.Path
        The program; it is replaced in one step.

    Raises
    ------
    OSError
    """
    with tempfile.TemporaryDirectory(dir=target.parent) as directory:
        program = pathlib.Path(directory) / target.name
        try:
            _compile_launcher(program)
        except (OSError, subprocess.SubprocessError) as exc:
            print(f"no launcher, the interpreter itself is used: {exc}")
            program.unlink(missing_ok=True)
            program.symlink_to(_interpreter())
        os.replace(program, target)


def _compile_launcher(program: pathlib.Path) -> None:
    """Compile the launcher, and check that it runs Python as the interpreter does.

    Raises
    ------
    OSError, subprocess.SubprocessError
    """
    directory = pathlib.Path(sysconfig.get_config_var("LIBDIR") or "")
    library = directory / (sysconfig.get_config_var("INSTSONAME") or "")
    if not library.is_file():
        raise FileNotFoundError(f"{library} is no shared library")
    command = [*(sysconfig.get_config_var("CC") or "cc").split(), "-O2"]
    command += [f'-DPYTHON_LIBRARY="{library}"', f'-DPYTHON_PROGRAM="{_interpreter()}"']
    command += [str(LAUNCHER), "-ldl", "-o", str(program)]
    subprocess.run(command, check=True, stdin=subprocess.DEVNULL)
    if _describe(program) != _describe(_interpreter()):
        raise subprocess.SubprocessError("it doesn't run as the interpreter does")


def _interpreter() -> pathlib.Path:
    return pathlib.Path(sys.executable).resolve()


def _describe(program: pathlib.Path) -> bytes:
    """Return the version of an interpreter and where its modules are.

    Raises
    ------
    OSError, subprocess.SubprocessError
    """
    # An extension module that needs other libraries is loaded too.
    describe = "import ssl, sys; print(sys.version, sys.path, ssl.OPENSSL_VERSION)"
    return subprocess.run(
        [str(program), "-S", "-c", describe],
        check=True,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
    ).stdout


def make_readable(root: pathlib.Path) -> None:
    """Let every user read a directory and all that it contains.

    Only modes that don't allow it are changed, since another user may own the others.

    Raises
    ------
    OSError
    """
    for each in (root, *root.rglob("*")):
        # A daemon that starts replaces compiled files meanwhile.
        with contextlib.suppress(FileNotFoundError):
            if not each.is_symlink():
                _make_readable(each)


def _make_readable(path: pathlib.Path) -> None:
    mode = path.stat().st_mode
    is_directory = stat.S_ISDIR(mode)
    wanted = stat.S_IMODE(mode) | (_READ_DIRECTORY if is_directory else _READ)
    if stat.S_IMODE(mode) != wanted:
        os.chmod(path, wanted)


def main() -> None:
    """Build; wait while another build of this checkout is running."""
    os.umask(os.umask(_WRITE_BY_OTHERS) & _WRITE_BY_OTHERS)
    target = ROOT / "target" / "deps"
    target.mkdir(parents=True, exist_ok=True)
    with (target.parent / "build.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        install_interpreter(target.parent / "python3")
        install_libraries(ROOT / "deploy" / "requirements.txt", target)
        sync(ROOT / "src" / PACKAGE, target / PACKAGE)
        compileall.compile_dir(str(target / PACKAGE), quiet=1)
        # Files of an earlier build may have other modes.
        make_readable(target.parent)


if __name__ == "__main__":
    main()
