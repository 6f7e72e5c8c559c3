"""The fixtures of the tests that start the program; what is known to fail."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.host import FakeAgent, FakeAnnounce, ServerHarness, ServerProcess
from tests.known_red import pytest_collection_modifyitems, pytest_configure


@pytest.fixture
def make_harness(tmp_path: Path) -> Iterator[Any]:
    made: list[ServerHarness] = []

    def make(agent_up: bool = True, announce: FakeAnnounce | None = None, **changes: Any) -> ServerHarness:
        agent, announce = FakeAgent(agent_up), announce or FakeAnnounce()
        made.append(
            ServerHarness(tmp_path, agent, announce, ServerProcess(tmp_path, agent, announce, **changes))
        )
        return made[-1]

    yield make
    for harness in made:
        harness.agent.close()
        harness.announce.close()
        harness.server.close()


@pytest.fixture
def harness(make_harness: Any) -> ServerHarness:
    made: ServerHarness = make_harness()
    made.wait_until_serving()
    return made


__all__ = ["harness", "make_harness", "pytest_collection_modifyitems", "pytest_configure"]
