"""Fixtures for running commands against a fake VM."""

import pathlib

import pytest

from rattanlug.commands import main
from tests.commands import operator_api

RULES = pathlib.Path(__file__).parent.parent / "rules" / "example.rules"


@pytest.fixture
def api():
    return operator_api.OperatorApi(RULES.read_text())


@pytest.fixture
def run(api, tmp_path, capsys):
    """Return a function that runs a command and returns code, stdout and stderr."""
    token_file = tmp_path / "token"
    token_file.write_text(operator_api.TOKEN + "\n")

    def run_command(*words, author=False):
        argv = [*words, "--vm", address, "--token-file", str(token_file)]
        if author:
            argv += ["--who", "Ane", "--why", "ticket 21"]
        code = main.main(argv)
        return (code, *capsys.readouterr())

    with operator_api.serve(api) as address:
        yield run_command
