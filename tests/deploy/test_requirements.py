"""Tests of the list of libraries that the daemon is built with."""

import importlib.metadata
import pathlib
import re
import tomllib

import pytest
from packaging import requirements, utils

ROOT = pathlib.Path(__file__).parents[2]
# Of the package's dependencies, these are for tools and the earlier daemon only.
NOT_NEEDED = {"cattrs", "pygal"}


def read_pins():
    """Return the version of each library, by its normalised name."""
    lines = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
    listed = [each for each in lines if each and not each.startswith("#")]
    pins = {}
    for line in listed:
        match = re.fullmatch(r"([\w.-]+)==([\w.!+]+)", line)
        assert match, f"not one exact version for all machines: {line}"
        pins[utils.canonicalize_name(match[1])] = match[2]
    assert len(pins) == len(listed)
    return pins


def read_dependencies():
    """Return what the package needs of its libraries."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    return [requirements.Requirement(each) for each in project["dependencies"]]


def find_needed():
    """Return the normalised names of all libraries that the daemon needs."""
    wanted = [each for each in read_dependencies() if each.name not in NOT_NEEDED]
    found, seen = set(), set()
    while wanted:
        each = wanted.pop()
        name = utils.canonicalize_name(each.name)
        if (name, frozenset(each.extras)) in seen:
            continue
        seen.add((name, frozenset(each.extras)))
        found.add(name)
        for text in importlib.metadata.distribution(name).requires or ():
            needed = requirements.Requirement(text)
            if needed.marker is None or any(
                needed.marker.evaluate({"extra": extra}) for extra in (*each.extras, "")
            ):
                wanted.append(needed)
    return found


# Guards against a build that runs other versions than the tests ran with, since the
# daemon uses internals of its libraries.
def test_the_daemon_is_built_with_the_versions_of_the_tests():
    installed = {name: importlib.metadata.version(name) for name in find_needed()}
    assert read_pins() == installed


def test_the_versions_of_the_build_are_those_that_the_package_accepts():
    pins = read_pins()
    wrong = [
        str(each)
        for each in read_dependencies()
        if each.name not in NOT_NEEDED
        and pins[utils.canonicalize_name(each.name)] not in each.specifier
    ]
    assert wrong == []


# Guards against tests that run with versions of their own.
@pytest.mark.parametrize("environment", ["test"])
def test_the_environment_of_the_tests_has_the_list_of_the_build(environment):
    settings = tomllib.loads((ROOT / "tox.toml").read_text())["env"][environment]
    assert "-r deploy/requirements.txt" in settings["deps"]
