"""Fixtures of the tests of the gateway daemon."""

import logging

import pytest

from rattanlug.gateway import node as node_module
from tests.gateway import caller

_MAX_LINES = 200
_DECISIONS = pytest.StashKey[list[str]]()
# What the test's thread had waited for a processor before the test, seconds.
_UNSCHEDULED = pytest.StashKey[float]()


class _DecisionHandler(logging.Handler):
    """Keeps each decision of the daemons with its fields."""

    def __init__(self, lines):
        super().__init__()
        self._lines = lines

    def emit(self, record):
        self._lines.append(f"{record.getMessage()} {getattr(record, 'decision', {})}")


@pytest.fixture(autouse=True)
def decisions(request):
    """Keep the daemons' decisions, which a failed test prints.

    The lines of the captured log have no fields, so that they don't tell why a request
    was rejected.
    """
    request.node.stash[_DECISIONS] = lines = []
    request.node.stash[_UNSCHEDULED] = caller.unscheduled_seconds()
    logger = logging.getLogger("rattanlug.decision")
    handler, level = _DecisionHandler(lines), logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    yield
    logger.setLevel(level)
    logger.removeHandler(handler)


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    outcome = yield
    report = outcome.get_result()
    lines = item.stash.get(_DECISIONS, [])
    if report.when == "call" and not report.passed and lines:
        waited = caller.unscheduled_seconds() - item.stash[_UNSCHEDULED]
        shown = "\n".join(
            [*lines[-_MAX_LINES:], f"waited {waited:.2f} s for a processor in all"]
        )
        report.sections.append(("Decisions of the daemons", shown))


@pytest.fixture
def no_overload(monkeypatch):
    """Make responses independent of the load of the machine that runs the test."""
    monkeypatch.setattr(
        node_module.Node, "processing_delay", lambda self, arrived_at, now: 0.0
    )
