"""Tests of finding and rendering the decisions about a request."""

import json

from rattanlug.commands import main
from rattanlug.explain import log_reader, text


def line(time, vm, event, **fields):
    name = "change" if "what" in fields else "decision"
    return json.dumps({"message": event, "vm": vm, name: fields, "time": time})


LINES = [
    line("t1", "vm-1", "state changed", what="store", old="reached", new="lost"),
    line("t3", "vm-2", "answered", id="r1", status=200),
    "   2.1 vm-1 " + line("t2", "vm-1", "send failed", id="r1", kind="answer_broken"),
    line("t2", "vm-1", "answered", id="other", status=200),
    line("t4", "vm-1", "answered", id="r1")[:-9],
    "not json {",
    '{"decision": 3}',
    "[1]",
    "",
]


def test_decisions_of_all_vms_are_ordered_by_time():
    found = log_reader.decisions_for_request(LINES, "r1")
    assert [(each.vm, each.event) for each in found] == [
        ("vm-1", "send failed"),
        ("vm-2", "answered"),
    ]


def test_the_text_shows_earlier_state_changes_of_the_vm():
    found = log_reader.decisions_for_request(LINES, "r1")
    shown = text.render(found, log_reader.state_changes_of_vms(LINES, {"vm-1", "vm-2"}))
    assert shown.splitlines() == [
        "    t1 vm-1: store reached -> lost",
        "t2 vm-1: send failed",
        "        kind: answer_broken",
        "t3 vm-2: answered",
        "        status: 200",
    ]


def test_the_command_reads_files_and_prints_json(tmp_path, capsys):
    path = tmp_path / "vm.log"
    path.write_text("\n".join(LINES))
    assert main.main(["explain", "r1", str(path), "--json"]) == 0
    shown = [json.loads(each) for each in capsys.readouterr().out.splitlines()]
    assert [each["event"] for each in shown] == ["send failed", "answered"]
    assert main.main(["explain", "unknown", str(path)]) == 1
    assert "unknown" in capsys.readouterr().err


def test_the_error_names_a_missing_file(capsys):
    assert main.main(["explain", "r1", "/nonexistent/log"]) == 2
    assert "/nonexistent/log" in capsys.readouterr().err
