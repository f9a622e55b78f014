"""Fixtures of the tests of the gateway daemon."""

import pytest

from rattanlug.gateway import node as node_module


@pytest.fixture
def no_overload(monkeypatch):
    """Make responses independent of the load of the machine that runs the test."""
    monkeypatch.setattr(
        node_module.Node, "processing_delay", lambda self, arrived_at, now: 0.0
    )
