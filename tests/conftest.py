"""The fixtures of the tests that start the program; what is known to fail."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.host import FakeAgent, FakeAnnounce, Hall, Instance
from tests.known_red import pytest_collection_modifyitems, pytest_configure


@pytest.fixture
def halls(tmp_path: Path) -> Iterator[Any]:
    made: list[Hall] = []

    def make(agent_up: bool = True, announce: FakeAnnounce | None = None, **changes: Any) -> Hall:
        agent, announce = FakeAgent(agent_up), announce or FakeAnnounce()
        made.append(Hall(tmp_path, agent, announce, Instance(tmp_path, agent, announce, **changes)))
        return made[-1]

    yield make
    for hall in made:
        hall.agent.close()
        hall.announce.close()
        hall.instance.close()


@pytest.fixture
def hall(halls: Any) -> Hall:
    made: Hall = halls()
    made.up()
    return made


__all__ = ["hall", "halls", "pytest_collection_modifyitems", "pytest_configure"]
