"""Fixtures that start the server program, and the handling of tests that are known to fail."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.host import FakeAgent, FakeAnnounce, ServerHarness, ServerProcess
from tests.known_red import pytest_collection_modifyitems, pytest_configure


@pytest.fixture
def make_harness(tmp_path: Path) -> Iterator[Any]:
    """Provides a function that starts a server with fake peers; closes all of them after the test."""
    harnesses: list[ServerHarness] = []

    def make(agent_ready: bool = True, announce: FakeAnnounce | None = None, **changes: Any) -> ServerHarness:
        agent, announce = FakeAgent(agent_ready), announce or FakeAnnounce()
        harnesses.append(
            ServerHarness(tmp_path, agent, announce, ServerProcess(tmp_path, agent, announce, **changes))
        )
        return harnesses[-1]

    yield make
    for harness in harnesses:
        harness.agent.close()
        harness.announce.close()
        harness.server.close()


@pytest.fixture
def harness(make_harness: Any) -> ServerHarness:
    """Provides a server that serves clients."""
    ready_harness: ServerHarness = make_harness()
    ready_harness.wait_until_serving()
    return ready_harness


__all__ = ["harness", "make_harness", "pytest_collection_modifyitems", "pytest_configure"]
