"""Tests of the time since the process was created."""

import subprocess
import sys

from rattanlug.daemon import clock, process_age


def test_the_age_grows_with_the_time_given():
    now = clock.now()
    first = process_age.process_age(now)
    assert first is not None and first >= 0
    assert abs(process_age.process_age(now + 5.0) - first - 5.0) < 0.01


def test_the_age_counts_from_the_creation_of_the_process():
    code = (
        "import time; time.sleep(0.3)\n"
        "from rattanlug.daemon import clock, process_age\n"
        "print(process_age.process_age(clock.now()))"
    )
    began_at = clock.now()
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert 0.3 <= float(found.stdout) <= clock.now() - began_at + 0.02


def test_the_age_is_unknown_without_the_kernel_s_record(monkeypatch, tmp_path):
    monkeypatch.setattr(process_age, "_STAT", str(tmp_path / "missing"))
    assert process_age.process_age(clock.now()) is None
