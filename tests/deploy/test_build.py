"""Tests of the build, which daemons may run beside."""

import importlib.util
import os
import pathlib
import shutil
import stat
import subprocess
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parents[2]


@pytest.fixture
def build():
    spec = importlib.util.spec_from_file_location("build", ROOT / "deploy" / "build.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.fixture
def tree(tmp_path):
    source = tmp_path / "source"
    (source / "inner").mkdir(parents=True)
    (source / "kept.py").write_text("A = 1\n")
    (source / "inner" / "changed.py").write_text("B = 1\n")
    (source / "inner" / "removed.py").write_text("C = 1\n")
    return source


@pytest.fixture
def checkout(tmp_path):
    """Copy of the files that a build needs, without libraries to install."""
    root = tmp_path / "checkout"
    for name in ("deploy", "src"):
        shutil.copytree(
            ROOT / name,
            root / name,
            ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"),
        )
    (root / "deploy" / "requirements.txt").write_text("")
    return root


def read_command(checkout):
    """Return the command of the build."""
    return tomllib.loads((checkout / "deploy" / "system.toml").read_text())["build"]


# Guards against daemons that fail to import the package while it is built again.
def test_a_daemon_can_start_while_the_package_is_built_again(checkout):
    command = read_command(checkout)
    subprocess.run(command, shell=True, cwd=checkout, check=True)
    package = checkout / "target" / "deps" / "rattanlug"
    files = sorted(package.rglob("*.py"))
    before = [each.stat().st_ino for each in files]

    again = subprocess.Popen(command, shell=True, cwd=checkout)
    missing = set()
    while again.poll() is None:
        missing.update(each.name for each in files if not each.exists())

    assert again.returncode == 0
    assert missing == set()
    assert [each.stat().st_ino for each in files] == before


def is_readable_by_others(path):
    wanted = stat.S_IRGRP | stat.S_IROTH
    if path.is_dir():
        wanted |= stat.S_IXGRP | stat.S_IXOTH
    return path.stat().st_mode & wanted == wanted


# Guards against a daemon that can't read its own program, since it runs as another
# user than the build.
@pytest.mark.parametrize("sources_mode", [0o600, 0o644])
def test_a_build_is_readable_by_others_whatever_the_umask(checkout, sources_mode):
    for each in (checkout / "src").rglob("*"):
        each.chmod(sources_mode | (0o100 if each.is_dir() else 0))
    # In place of a library that the installer writes.
    library = checkout / "target" / "deps" / "library"
    library.mkdir(parents=True)
    (library / "__init__.py").write_text("")
    for path, mode in (
        (library / "__init__.py", 0o600),
        (library, 0o700),
        (library.parent, 0o700),
        (library.parent.parent, 0o700),
    ):
        path.chmod(mode)

    subprocess.run(
        read_command(checkout), shell=True, cwd=checkout, check=True, umask=0o077
    )

    target = checkout / "target"
    built = [target, *target.rglob("*")]
    assert any(each.suffix == ".pyc" for each in built)
    assert [each for each in built if not is_readable_by_others(each)] == []


# Guards against a build that ends because another user built some of the files.
def test_files_that_are_readable_keep_their_mode(build, tree, monkeypatch):
    build.make_readable(tree)
    changed = []
    monkeypatch.setattr(os, "chmod", lambda *args, **_: changed.append(args))
    build.make_readable(tree)
    assert changed == []


def test_sync_replaces_changed_files_and_removes_old_ones(build, tree, tmp_path):
    target = tmp_path / "target"
    build.sync(tree, target)
    (tree / "inner" / "changed.py").write_text("B = 2\n")
    (tree / "inner" / "removed.py").unlink()
    (tree / "added.py").write_text("D = 1\n")

    build.sync(tree, target)

    found = {
        str(each.relative_to(target)): each.read_text()
        for each in target.rglob("*")
        if each.is_file()
    }
    assert found == {
        "kept.py": "A = 1\n",
        "inner/changed.py": "B = 2\n",
        "added.py": "D = 1\n",
    }


def test_sync_never_shows_an_incomplete_file(build, tree, tmp_path, monkeypatch):
    target = tmp_path / "target"
    build.sync(tree, target)
    (tree / "inner" / "changed.py").write_text("B = 2\n")
    seen = []
    copy = build.shutil.copyfile

    def copy_and_look(source, destination):
        copy(source, destination)
        seen.append((target / "inner" / "changed.py").read_text())

    monkeypatch.setattr(build.shutil, "copyfile", copy_and_look)
    build.sync(tree, target)

    assert seen == ["B = 1\n"]


def test_libraries_of_another_machine_are_installed_anew(build, tmp_path, monkeypatch):
    requirements = tmp_path / "requirements.txt"
    requirements.write_text("some-library\n")
    commands = []
    monkeypatch.setattr(
        build.subprocess, "run", lambda command, check: commands.append(command)
    )
    build.install_libraries(requirements, tmp_path)
    build.install_libraries(requirements, tmp_path)
    assert len(commands) == 1

    monkeypatch.setattr(build.platform, "machine", lambda: "another")
    build.install_libraries(requirements, tmp_path)
    assert len(commands) == 2


# Guards against an old compiled file that is taken for that of a source of equal size,
# if two builds follow each other within a second.
def test_a_changed_source_drops_its_compiled_file(build, tree, tmp_path):
    target = tmp_path / "target"
    build.sync(tree, target)
    build.compileall.compile_dir(str(target), quiet=1)
    (tree / "inner" / "changed.py").write_text("B = 2\n")

    build.sync(tree, target)

    assert (target / "__pycache__").exists()
    assert not list((target / "inner" / "__pycache__").glob("changed.*"))


# Guards against a build that fails because a daemon that starts meanwhile replaces a
# compiled file.
def test_files_may_vanish_while_modes_are_set(build, tmp_path, monkeypatch):
    incomplete = tmp_path / "module.pyc.1234"
    incomplete.write_bytes(b"")
    find = pathlib.Path.rglob

    def find_then_replace(path, pattern):
        found = list(find(path, pattern))
        incomplete.replace(tmp_path / "module.pyc")
        return found

    monkeypatch.setattr(pathlib.Path, "rglob", find_then_replace)
    build.make_readable(tmp_path)
