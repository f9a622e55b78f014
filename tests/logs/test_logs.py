"""Tests of the JSON log lines."""

import json
import logging

import pytest

from rattanlug.logs import setup, state_log


@pytest.fixture(autouse=True)
def _restore_logging():
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    root.handlers[:], root.level = handlers, level
    logging.getLogger(setup.LOGGER_NAME).setLevel(logging.NOTSET)


def lines_of(capsys):
    return [json.loads(line) for line in capsys.readouterr().err.splitlines()]


def test_change_is_one_json_line(capsys):
    """A second set-up or a field name reserved by logging must not break the line."""
    setup.configure("INFO", "bizkaia-1-a")
    setup.configure("INFO", "bizkaia-1-a")
    state_log.log_change("member", "alive", "dead", name="b", error=ValueError("x\ny"))
    (line,) = lines_of(capsys)
    assert line["vm"] == "bizkaia-1-a"
    assert (line["level"], line["logger"]) == ("INFO", "rattanlug.state")
    change = line["change"]
    assert (change["what"], change["old"], change["new"]) == ("member", "alive", "dead")
    assert change["name"] == "b"
    assert line["time"].endswith("+00:00")


def test_no_change_writes_nothing(capsys):
    """Guards against a line for each gossip round, which would hide relevant lines."""
    setup.configure("INFO", "a")
    state_log.log_change("member", "alive", "alive")
    assert lines_of(capsys) == []


def test_the_level_applies_to_rattanlug_and_warnings_of_libraries(capsys):
    """At level WARNING, state changes are not logged."""
    setup.configure("WARNING", "a")
    state_log.log_change("member", "alive", "dead")
    logging.getLogger("h11").info("detail")
    logging.getLogger("h11").warning("trouble")
    assert [each["message"] for each in lines_of(capsys)] == ["trouble"]
