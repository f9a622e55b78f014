"""Verdicts of the soak, and errors of its own."""

import json
import sys

import pytest

from soak import __main__ as command
from soak import processor_reading, processor_use, run, tally

OUTCOME = run.Outcome(5, 5, (), {}, "", {}, "passed", {}, {}, [], [])


@pytest.mark.parametrize(
    ("broken", "short_parts", "expected"),
    [
        ({}, [], "passed"),
        ({}, ["run"], "no verdict"),
        ({"service_recovers": ["1 of 9 served"]}, [], "failed"),
        ({"service_recovers": ["1 of 9 served"]}, ["run"], "no verdict"),
        ({"every_request_is_answered": ["c1-1"]}, ["run"], "failed"),
        ({"processes_do_not_end_by_themselves": ["vm-1-1"]}, ["run"], "failed"),
        # A stall makes an answer later, never earlier.
        ({"stops_replace_no_answer": ["c1-1"]}, ["run"], "failed"),
    ],
)
def test_a_short_rig_gives_no_verdict_on_times(broken, short_parts, expected):
    assert tally.verdict(broken, short_parts) == expected


def test_violations_are_counted_by_kind():
    broken = {"processes_do_not_end_by_themselves": ["a", "b"], "rates_hold": ["c"]}
    counts = {name: count for name, count in tally.tally(broken).items() if count}
    assert counts == {"ends by themselves": 2, tally.OTHERS: 1}


@pytest.mark.parametrize(
    ("running", "waiting", "stalled", "is_short"),
    [
        (5.0, 0.0, [], False),
        (9.5, 0.0, [], True),
        (5.0, 2.0, [], True),
        (5.0, 0.0, [(101.0, 101.2)], False),
        (5.0, 0.0, [(101.0, 102.2)], True),
        (5.0, 0.0, [(100.0 + each, 100.2 + each) for each in range(3)], True),
        # Before the readings.
        (5.0, 0.0, [(97.0, 99.0)], False),
    ],
)
def test_a_part_is_short_of_a_processor(running, waiting, stalled, is_short):
    first = processor_reading.Reading(100.0, 1.0, 1.0)
    last = processor_reading.Reading(110.0, 1.0 + running, 1.0 + waiting)
    use = processor_use.part_use(first, last, stalled)
    assert use.is_short(10.0) is is_short


async def _fail(options):
    raise ValueError("zip() argument 2 is shorter than argument 1")


async def _pass(options):
    return OUTCOME


async def _violate(options):
    return OUTCOME._replace(
        verdict="failed", broken={"rates_hold": ["c"]}, tally={tally.OTHERS: 1}
    )


# Guards against an error of the rig that looks like a violation.
@pytest.mark.parametrize(
    ("execute", "code", "last_line"),
    [
        (_pass, 0, "1 passed, 0 no verdict, 0 failed"),
        (_violate, 1, "0 passed, 0 no verdict, 1 failed"),
        (_fail, 2, "0 passed, 1 no verdict, 0 failed"),
    ],
)
def test_the_exit_code_tells_an_error_of_the_rig_from_a_violation(
    monkeypatch, capsys, execute, code, last_line
):
    monkeypatch.setattr(run, "execute", execute)
    monkeypatch.setattr(sys, "argv", ["soak"])
    assert command.main() == code
    lines = capsys.readouterr().out.splitlines()
    assert lines[-1] == last_line
    result = json.loads(lines[0])
    assert ("error" in result) is (code == 2)
