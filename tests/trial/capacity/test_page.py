"""The capacity page has exactly the tables that its command writes."""

import pathlib

import pytest

from trial.capacity import __main__ as command
from trial.capacity import fleet, page, registry

_PAGE = (pathlib.Path(__file__).parents[3] / "docs" / "CAPACITY.md").read_text()


@pytest.mark.parametrize("name", list(registry.MEASUREMENTS))
def test_every_measurement_has_one_table_on_the_page(name):
    # Fails if a measurement had no table to write its figures to.
    assert page.replace_table(_PAGE, name, "| new |").count("| new |") == 1


def test_every_table_of_the_page_has_a_measurement():
    # Fails if a table became outdated because no measurement writes it.
    assert _PAGE.count("<!-- measured: ") == len(registry.MEASUREMENTS)
    assert command.registry is registry


def test_page_without_markers_is_rejected():
    # Fails if figures were dropped without an error.
    with pytest.raises(ValueError, match="0 times"):
        page.replace_table("text", "gossip", "| new |")


def test_idle_traffic_does_not_grow_with_members():
    # Fails if an idle daemon's traffic grew with the number of members.
    small, large = (fleet.Fleet(vms, 6) for vms in (24, 48))
    for simulation in (small, large):
        simulation.run(1)
    assert large.measure(2).bytes_s < 1.02 * small.measure(2).bytes_s
