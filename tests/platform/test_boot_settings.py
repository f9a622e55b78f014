"""Tests of reading the settings file of the platform."""

import tomllib

import pytest

from rattanlug.errors import error
from rattanlug.platform import boot_settings
from trial.shared_platform import boot_file


def table():
    return tomllib.loads(boot_file.render("vm-1", "127.0.1.1", 9000, 9500))


def test_all_fields_are_decoded():
    found = boot_settings.decode(table())
    assert (found.vm, found.data_centre, found.region) == ("vm-1", "north-a", "north")
    assert found.callers.port == 9000
    assert found.store.address.port == 9500
    assert found.bounds.key_withdrawal == 5
    assert found.bounds.rate_slack == 20
    assert found.region_of["south-a"] == "south"


def test_unknown_fields_and_missing_bounds_are_accepted():
    found = {**table(), "new_field": {"a": 1}}
    del found["bounds"]
    assert boot_settings.decode(found).bounds.strict_withdrawal


@pytest.mark.parametrize("name", ["node_name", "zone", "listen", "platform"])
def test_the_error_names_a_missing_field(name):
    found = table()
    del found[name]
    with pytest.raises(error.InvalidInputError, match=name):
        boot_settings.decode(found)


def test_an_address_needs_a_port():
    found = table()
    found["listen"]["front"] = "10.0.0.1"
    with pytest.raises(error.InvalidInputError, match="front"):
        boot_settings.decode(found)


def test_the_error_names_a_missing_file(tmp_path):
    with pytest.raises(error.InvalidInputError, match=r"none\.toml"):
        boot_settings.read(str(tmp_path / "none.toml"))
