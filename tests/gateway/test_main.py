"""Tests of starting the entry daemon as a program."""

import os
import subprocess
import sys

import pytest


def start(tmp_path, text):
    environment = {**os.environ}
    environment.pop("RATTANLUG_BOOT", None)
    if text is not None:
        path = tmp_path / "local.toml"
        path.write_text(text)
        environment["RATTANLUG_BOOT"] = str(path)
    return subprocess.run(
        [sys.executable, "-m", "rattanlug.gateway"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
    )


@pytest.mark.parametrize(
    ("text", "named"), [(None, "RATTANLUG_BOOT"), ("node_name = 1", "listen")]
)
def test_what_is_wrong_with_the_settings_is_said(tmp_path, text, named):
    found = start(tmp_path, text)
    assert found.returncode == 2
    assert named in found.stderr
