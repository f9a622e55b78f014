"""Guards against changes that overwrite others or are applied partially."""

import re
import shlex

import pytest
import pytest_bdd as bdd

from rattanlug.rules import parser

bdd.scenarios("racing_changes.feature")


@pytest.fixture
def outcome():
    return {}


@pytest.fixture
def file(tmp_path):
    return tmp_path / "edited.rules"


def other_change(api, rate):
    text = api.text.replace("berdea rate=5 ", f"berdea rate={rate} ")
    api.apply("Jon: ticket 20", text)


@bdd.given(
    bdd.parsers.parse(
        "Jon sets the rate of berdea to {rate} just before the next change arrives"
    )
)
def change_before_post(api, rate):
    api.before_post = lambda: other_change(api, rate)


@bdd.given(bdd.parsers.parse("Jon has set the rate of berdea to {rate}"))
def change_done(api, rate):
    other_change(api, rate)


@bdd.given(
    bdd.parsers.parse("Ane has a file of the rules with the rate of urdina set to {x}")
)
def edited_file(run, file, x):
    _, text, _ = run("rules", "show")
    file.write_text(text.replace("urdina rate=50 ", f"urdina rate={x} "))


@bdd.given("the answer to the next change is lost")
def lost_answer(api):
    api.drop_response = True


@bdd.given(bdd.parsers.parse("changes are refused with {kind}"))
def refused(api, kind):
    api.refuse_with = kind


@bdd.given("changes do not come into force")
def not_in_force(api):
    api.in_force = False


@bdd.when(bdd.parsers.parse('Ane runs "{line}"'))
def run_line(run, file, outcome, line):
    words = [str(file) if word == "FILE" else word for word in shlex.split(line)]
    outcome["code"], outcome["out"], outcome["err"] = run(*words, author=True)


@bdd.then(bdd.parsers.parse("the exit code is {code:d}"))
def exit_code(outcome, code):
    assert outcome["code"] == code, outcome


@bdd.then(bdd.parsers.parse('the output says "{text}"'))
def output(outcome, text):
    assert text in outcome["out"] + outcome["err"]


@bdd.then("no key is printed")
def no_key(outcome):
    assert outcome["out"] == ""
    assert not re.search(r"(?<![\w-])[\w-]{43}(?![\w-])", outcome["err"])


@bdd.then("nothing was submitted")
def nothing_submitted(api):
    assert api.posts == 0


@bdd.then(bdd.parsers.parse("the rate of {name} is {rate:d}"))
def rate_in_force(api, name, rate):
    assert parser.parse_rules(api.text).organisations[name].rate == rate
