"""Builds rattanlug as one executable file.

The file is a small launcher with the interpreter statically linked, followed by an
archive of byte code, extension modules and the shared libraries that they need. It
depends on the C library of the machine only, starts no process and writes no file.

Run ``python tools/build_binary.py`` with the Python whose packages are to be included.
The build needs a C compiler and the interpreter's static library, which every Python
built from source has.
"""

import argparse
import functools
import importlib.metadata
import importlib.util
import io
import marshal
import pathlib
import re
import subprocess
import sys
import sysconfig
import tempfile
import zipfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
LAUNCHER = ROOT / "tools" / "binary" / "launcher.c"
BOOTSTRAP = ROOT / "tools" / "binary" / "bootstrap.py"
SOURCE = ROOT / "src"

# Directories that no command needs: tests, development tools, other programs.
_SKIPPED = {
    "__pycache__",
    "_tests",
    "distutils",
    "ensurepip",
    "idlelib",
    "lib2to3",
    "pydoc_data",
    "site-packages",
    "test",
    "tests",
    "tkinter",
    "turtledemo",
    "venv",
}
# Requirements of build tools that are never imported at run time.
_SKIPPED_DISTRIBUTIONS = {"pbr", "setuptools"}
_SKIPPED_MODULES = re.compile(
    r"_test|_xx|xxlimited|_ctypes_test|_tkinter|_curses|readline|nis|ossaudiodev|audioop"
)
# Part of the C library, whose version must match the machine's dynamic loader.
_C_LIBRARY = re.compile(r"(ld-linux.*|lib(c|m|dl|rt|pthread|util|resolv))\.so")
_SUFFIXES = tuple(sysconfig.get_config_var("EXT_SUFFIX").split()) + (".abi3.so", ".so")
# A fixed time, for reproducible builds.
_TIMESTAMP = (1980, 1, 1, 0, 0, 0)


def build(output: pathlib.Path) -> None:
    """Build the executable file."""
    with tempfile.TemporaryDirectory() as directory:
        launcher = _link_launcher(pathlib.Path(directory))
    content = launcher + _archive()
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_bytes(content)
    output.chmod(0o755)
    print(f"{output}: {len(content) / 1e6:.1f} MB")


def _link_launcher(directory):
    result = directory / "launcher"
    config = sysconfig.get_config_vars()
    static = pathlib.Path(config["LIBPL"]) / f"libpython{config['LDVERSION']}.a"
    if not static.exists():
        sys.exit(f"{static} is missing; this Python has no static library")
    command = [
        *config["CC"].split(),
        "-O2",
        f"-I{sysconfig.get_path('include')}",
        str(LAUNCHER),
        "-Wl,--whole-archive",
        str(static),
        "-Wl,--no-whole-archive",
        # Extension modules use the symbols of the interpreter.
        "-Wl,--export-dynamic",
        "-ldl",
        "-lm",
        "-lpthread",
        "-s",
        "-o",
        str(result),
    ]
    subprocess.run(command, check=True)
    return result.read_bytes()


def _archive():
    members = {}
    native = {}
    standard = pathlib.Path(sysconfig.get_path("stdlib"))
    _add_tree(members, native, standard, standard)
    for path in (standard / "lib-dynload").iterdir():
        _add_native(native, path, path.name)
    for path, name in _distribution_files():
        _add_file(members, native, path, name)
    _add_tree(members, native, SOURCE, SOURCE)
    members["__main__.pyc"] = _byte_code(BOOTSTRAP, "__main__.py")
    _add_libraries(members, native)
    buffer = io.BytesIO()
    # Not compressed, because zlib is itself loaded from the archive.
    with zipfile.ZipFile(buffer, "w", zipfile.ZIP_STORED) as archive:
        for name in sorted(members):
            archive.writestr(zipfile.ZipInfo(name, _TIMESTAMP), members[name])
    return buffer.getvalue()


def _add_tree(members, native, root, directory):
    for path in sorted(directory.iterdir()):
        if path.name in _SKIPPED or path.name.startswith("config-"):
            continue
        if path.is_dir() and path.name != "lib-dynload":
            _add_tree(members, native, root, path)
        elif path.is_file():
            _add_file(members, native, path, path.relative_to(root).as_posix())


def _add_file(members, native, path, name):
    if path.suffix == ".py":
        members[name + "c"] = _byte_code(path, name)
    elif path.suffix == ".so":
        _add_native(native, path, name)
    elif path.suffix not in {".pyc", ".pyi", ".a", ".o", ".exe", ".whl"}:
        members[name] = path.read_bytes()


def _add_native(native, path, name):
    suffix = next((each for each in _SUFFIXES if name.endswith(each)), None)
    if suffix and not _SKIPPED_MODULES.match(name):
        native[name.removesuffix(suffix).replace("/", ".")] = path


def _byte_code(path, name):
    code = compile(path.read_bytes(), name, "exec", dont_inherit=True, optimize=0)
    # Flags 1: an unchecked hash-based .pyc, since the archive holds no source.
    return (
        importlib.util.MAGIC_NUMBER + (1).to_bytes(4, "little") + bytes(8)
    ) + marshal.dumps(code)


def _distribution_files():
    project = (ROOT / "pyproject.toml").read_text()
    listed = re.search(r"^dependencies = \[(.*?)^\]", project, re.M | re.S)[1]
    wanted = [_requirement(each) for each in re.findall(r'"([^"]+)"', listed)]
    seen = set()
    while wanted:
        name, extras = wanted.pop()
        if (name, extras) in seen or name in _SKIPPED_DISTRIBUTIONS:
            continue
        seen.add((name, extras))
        distribution = importlib.metadata.distribution(name)
        for each in distribution.requires or ():
            if _applies(each, extras):
                wanted.append(_requirement(each))
        for each in distribution.files or ():
            path = pathlib.Path(distribution.locate_file(each))
            name_in_archive = each.as_posix()
            outside = name_in_archive.startswith("..") or "__pycache__" in each.parts
            if not outside and path.is_file() and not _SKIPPED & set(each.parts):
                yield path, name_in_archive


def _requirement(text):
    match = re.match(r"([\w.-]+)(?:\[([\w,\s-]+)\])?", text)
    extras = (each.strip() for each in (match[2] or "").split(","))
    return match[1], frozenset(extras) - {""}


def _applies(text, extras):
    from packaging import requirements

    marker = requirements.Requirement(text).marker
    return marker is None or any(
        marker.evaluate({"extra": extra}) for extra in (*extras, "")
    )


def _add_libraries(members, native):
    lines = []
    for name, path in sorted(native.items()):
        members[f"native/modules/{name}.so"] = _stripped(path)
        libraries = _libraries(path)
        for library, place in libraries.items():
            members[f"native/libraries/{library}"] = _stripped(place)
        lines.append(" ".join([name, *libraries]))
    members["native/needs.txt"] = "\n".join(lines).encode()


@functools.cache
def _stripped(path):
    """Return a shared object without unneeded symbols, to save memory."""
    with tempfile.NamedTemporaryFile() as output:
        command = ["strip", "--strip-unneeded", "-o", output.name, str(path)]
        subprocess.run(command, check=True)
        return pathlib.Path(output.name).read_bytes()


@functools.cache
def _libraries(path):
    """Return the libraries that a file needs, in order of dependency."""
    listing = subprocess.run(
        ["ldd", str(path)], capture_output=True, text=True, check=True
    ).stdout
    found = re.findall(r"^\s*(\S+) => (/\S+)", listing, re.M)
    wanted = {
        name: pathlib.Path(place)
        for name, place in found
        if not _C_LIBRARY.match(name) and not name.startswith("libpython")
    }
    result = {}
    for name, place in wanted.items():
        for below in _libraries(place):
            result[below] = wanted.get(below, place)
        result[name] = place
    return result


if __name__ == "__main__":
    arguments = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    arguments.add_argument("--output", default=str(ROOT / "dist" / "rattanlug"))
    build(pathlib.Path(arguments.parse_args().output))
