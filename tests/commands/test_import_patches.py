"""Guards against libraries that start a program when they are imported."""

import subprocess
import sys

# Audit events of all ways to start a program from Python.
WATCHED = """
import sys
EVENTS = {"subprocess.Popen", "os.fork", "os.forkpty", "os.exec", "os.posix_spawn",
          "os.spawn", "os.system"}
def refuse(event, args):
    if event in EVENTS:
        print("started", event, args, flush=True)
sys.addaudithook(refuse)
from rattanlug import __main__
try:
    __main__.main()
except SystemExit:
    import hypercorn.trio, rattanlug.slo.report, trio
"""


def test_no_program_is_started(tmp_path):
    """The import of trio ran ldconfig; a daemon must not start processes."""
    script = tmp_path / "watched.py"
    script.write_text(WATCHED)
    command = [sys.executable, str(script), "settings", "check", "none.json"]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    assert result.stdout == ""
    assert "none.json: cannot be read" in result.stderr
