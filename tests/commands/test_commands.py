"""Guards against commands that change the wrong line or end with a wrong code."""

import hashlib
import json

import pytest

from rattanlug.commands import main, operator_client
from rattanlug.rules import diff, parser
from rattanlug.slo import recorder
from tests.commands import operator_api


def test_issued_key_is_stored_as_digest_only(api, run):
    """A key in the rules or the history could be used by everyone who can read it."""
    code, out, err = run("key", "issue", "urdina/web", author=True)
    key = out.strip()
    digest = hashlib.sha256(key.encode()).hexdigest()
    assert (code, len(key)) == (0, 43)
    assert parser.parse_rules(api.text).keys[digest].name == "web"
    assert key not in api.text + err


@pytest.mark.parametrize(
    "words, removed, added",
    [
        ("organisation create beltza --rate 3 --burst 6", [], ["beltza rate=3 bu"]),
        ("rate set urdina --burst 9", ["urdina rate=50 bu"], ["rate=50 burst=9"]),
        ("key withdraw urdina/shop", ["key urdina/shop"], []),
        (
            "move start next --service listings --to v2 --by 2027-01-01T00:00Z --cap 5",
            [],
            ["move next service=listings from=v1 to=v2 by=2027-01-01T00:00Z cap=5  #"],
        ),
        ("drain start data_centre/gipuzkoa-1", [], ["drain data_centre/gipuzkoa-1"]),
        ("drain end upstream/l-01", ["drain upstream/l-01"], []),
    ],
)
def test_command_changes_only_its_line(api, run, words, removed, added):
    """A command that changes other lines undoes the changes of other operators."""
    before = api.text
    assert run(*words.split(), author=True)[0] == 0
    found = diff.diff_rules(before, api.text)
    for lines, expected in ((found.removed, removed), (found.added, added)):
        assert len(lines) == len(expected)
        assert all(part in line for part, line in zip(expected, lines, strict=True))
    assert all("# Ane: ticket 21" in line for line in found.added)
    assert api.versions[-1][0] == "Ane: ticket 21"


@pytest.mark.parametrize(
    "words, code",
    [
        ("key withdraw urdina/none", 2),
        ("drain start upstream/l-01", 2),
        ("rate set urdina", 2),
        ("organisation create beltza --rate 3#x --burst 6", 2),
        ("rate set urdina --rate 50", 0),
        ("rate set urdina --rate 60 --dry-run", 0),
    ],
)
def test_invalid_or_empty_changes_are_not_sent(api, run, words, code):
    """An invalid or empty change must not create a version."""
    assert run(*words.split(), author=True)[0] == code
    assert api.posts == 0


def test_unreachable_vm_and_wrong_token_have_their_exit_codes(run, tmp_path, capsys):
    """Scripts use the exit code to decide whether to try another VM."""
    token = tmp_path / "other"
    token.write_text("another")
    with operator_api.serve(operator_api.OperatorApi("")) as address:
        common = ["--token-file", str(token), "--vm", address]
        assert main.main(["rules", "show", *common]) == 1
    assert main.main(["rules", "show", *common]) == 3
    assert main.main(["rules", "show", *common[:-1], "entry-vm:80"]) == 2
    assert "nothing was sent" in capsys.readouterr().err


def test_file_without_version_needs_an_expected_version(run, tmp_path, api):
    """A file without a version could overwrite changes that its author never saw."""
    file = tmp_path / "plain.rules"
    file.write_text(api.text)
    assert run("rules", "apply", str(file), author=True)[0] == 2
    words = ["rules", "apply", str(file), "--expected-version", "1"]
    assert run(*words, author=True)[:2] == (0, "version 1 already says so\n")


def test_check_and_diff_report_positions_in_the_file(run, tmp_path, api, capsys):
    """Line numbers must include the version header of the file."""
    file = tmp_path / "wrong.rules"
    file.write_text("# version 1\n" + api.text + "drain rack/a  # Jon\n")
    assert main.main(["rules", "check", str(file)]) == 2
    line = len(api.text.splitlines()) + 2
    assert f"{file}: line {line}, column 7" in capsys.readouterr().err
    file.write_text("# version 1\n" + api.text + "drain vm/a  # Jon\n")
    assert run("rules", "diff", str(file))[1].splitlines()[1] == "+ drain vm/a  # Jon"


def test_history_shows_authors(run, api):
    """Without the author, nobody knows whom to ask about a change."""
    run("drain", "start", "vm/a", author=True)
    out = run("rules", "history")[1].splitlines()
    assert out[0] == "version 2  2001-09-09T01:46:42Z  Ane: ticket 21"
    assert out[1] == "  + drain vm/a  # Ane: ticket 21"


def test_status_reports_violations_by_exit_code(run, api):
    """A violated invariant must stop a script even if nobody reads its output."""
    member = {"vm": "b", "state": "serving", "last_heard": 0.25}
    api.extra["status"] = {"vm": "a", "members": [member], "violations": {}}
    code, out, _ = run("status")
    assert (code, "b   serving  0.25" in out) == (0, True)
    api.extra["status"]["violations"] = {"double_run": 1}
    code, out, _ = run("status", "--json")
    assert code == 1
    assert json.loads(out) == api.extra["status"]


def test_burn_adds_up_vms_and_writes_the_chart(run, api, tmp_path):
    """The counts of one VM hide failures that are spread over all VMs."""
    snapshots = []
    for vm in ("a", "b"):
        counted = recorder.Recorder(vm, 0.0)
        counted.record("urdina", "view", False, 0.1, 1.0)
        snapshots.append(counted.snapshot(2.0))
    api.extra["burn"] = {"snapshots": snapshots}
    code, out, _ = run("burn", "--svg", str(tmp_path / "burn.svg"))
    words = out.splitlines()[3].split()
    assert (code, words[1:3], words[4:7]) == (0, ["urdina", "view"], ["200", "ms", "2"])
    assert "VMs: 2" in out
    assert (tmp_path / "burn.svg").read_text().startswith("<?xml")
    api.extra["burn"] = {"snapshots": [{"vm": "a"}]}
    assert run("burn")[0] == 3


# A command, a group and a subcommand; the registry adds both options to all of them.
@pytest.mark.parametrize("path", [("daemon",), ("rules",), ("key", "issue")])
def test_help_and_version_everywhere(path, capsys):
    """During an incident, ``--help`` is the first source of information."""
    with pytest.raises(SystemExit) as shown:
        main.main([*path, "--help"])
    assert shown.value.code == 0
    assert "4 lost a race" in " ".join(capsys.readouterr().out.split())
    with pytest.raises(SystemExit) as shown:
        main.main([*path, "--version"])
    assert shown.value.code == 0


def test_interrupted_change_says_that_it_may_be_stored(run, monkeypatch):
    """An operator who interrupts a change must not assume that it isn't stored."""

    def interrupt(*args):
        raise KeyboardInterrupt

    monkeypatch.setattr(operator_client.OperatorClient, "post_rules", interrupt)
    code, _, err = run("drain", "start", "vm/a", author=True)
    assert (code, "may or may not be stored" in err) == (3, True)
