"""Settings of other customers: what is allowed is served, what is unusable ends in one plain line."""

import copy
import json
import subprocess
import tempfile
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.host import (
    CONFIG,
    SETTINGS,
    WAIT_TIMEOUT_SECONDS,
    MachineHarness,
    decode_message,
    process_call,
    read_frames,
    start_process,
    task_fields,
)
from thistleline.interface import ServerSettings
from thistleline.policy import SECOND
from thistleline.server.configuration import Configuration, read_configuration
from thistleline.wire.settings import SettingsError

# Keys without which nothing can be decided; all others may be left out.
DEMANDED = {
    ("settings", "classes"),
    ("settings", "classes", 0, "name"),
    ("settings", "classes", 0, "effect"),
    ("settings", "classes", 0, "deadline"),
    ("settings", "classes", 1, "name"),
    ("settings", "classes", 1, "effect"),
    ("settings", "classes", 1, "deadline"),
    ("settings", "familyInfo"),
    ("settings", "familyInfo", "cpus"),
    ("settings", "familyInfo", "memoryKb"),
    ("settings", "invariants"),
    ("settings", "invariants", "fallMultiple"),
    ("settings", "projects", 0, "name"),
    ("settings",),
    ("name",),
    ("listen",),
    ("agent",),
    ("announce",),
    ("stop_ms",),
}


def paths(value: Any, here: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """The place of each key, at any depth."""
    found: list[tuple[Any, ...]] = []
    pairs = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, inner in pairs:
        if isinstance(value, dict):
            found.append((*here, key))
        found += paths(inner, (*here, key))
    return found


OPTIONAL = sorted(set(paths(CONFIG)) - DEMANDED, key=str)
NUMBERS = [
    ("settings", "familyInfo", "cpus"),
    ("settings", "familyInfo", "memoryKb"),
    ("settings", "familyInfo", "blowup"),
    ("settings", "familyInfo", "keyKb"),
    ("settings", "familyInfo", "upstreams"),
    ("settings", "invariants", "cold"),
    ("settings", "invariants", "fall"),
    ("settings", "invariants", "fallMultiple"),
    ("settings", "invariants", "coldFrom"),
    ("settings", "invariants", "drainGrace"),
    ("settings", "groupSize"),
    ("settings", "granularity"),
    ("settings", "classes", 0, "promise"),
    ("settings", "classes", 0, "deadline"),
    ("settings", "classes", 1, "window"),
    ("settings", "classes", 1, "credit"),
    ("settings", "projects", 0, "allowancePerS"),
    ("stop_ms",),
    ("limits", "sockets"),
    ("limits", "memory_mb"),
]
WORDS = [
    ("settings", "familyInfo", "say"),
    ("settings", "familyInfo", "halt"),
    ("settings", "familyInfo", "dependsOn"),
]


def put(told: dict[str, Any], path: tuple[Any, ...], value: Any) -> None:
    place: Any = told
    for key in path[:-1]:
        try:
            place = place[key]
        except (KeyError, IndexError, TypeError):
            return  # what it stood in has gone
    if isinstance(place, dict):
        if value is put:
            place.pop(path[-1], None)
        else:
            place[path[-1]] = value


def read(told: dict[str, Any]) -> Configuration:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(told))
        return read_configuration({"ROUTER_CONFIG": str(path)})


def served(bench: ServerSettings) -> None:
    """The module decides under this bench without a fault; a task of each stage gets one answer in time."""
    told = {name: getattr(bench, name) for name in ServerSettings.__dataclass_fields__ if name != "stages"}
    desk = MachineHarness(stages=bench.stages, **told)
    for place, row in enumerate(bench.stages):
        word = "7" if row.effect == "keyed" else None
        desk.send(place, word, stage_index=place)
    for _ in range(40):
        desk.wait(SECOND // 4)
        for name in desk.launched():
            if name in desk.machine.at_agent:
                desk.end(name)
    assert desk.machine.context.figures.get("faults", 0) == 0
    assert len(desk.answers()) == len(bench.stages)


LENIENT = settings(
    max_examples=120, deadline=None, suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large]
)
POSITIVE = st.one_of(
    st.integers(1, 10**6), st.floats(0.01, 1000.0, allow_nan=False), st.sampled_from([0.25, 0.5, 1, 1.5, 96])
)


@LENIENT
@given(
    gone=st.lists(st.sampled_from(OPTIONAL), max_size=8),
    null=st.lists(st.sampled_from(OPTIONAL), max_size=4),
    new=st.lists(st.tuples(st.sampled_from(paths(CONFIG)), st.text(max_size=9)), max_size=4),
    numbers=st.lists(st.tuples(st.sampled_from(NUMBERS), POSITIVE), max_size=5),
    other=st.lists(st.tuples(st.sampled_from(WORDS), st.text(max_size=9)), max_size=2),
)
def test_what_is_allowed_is_read_and_served(
    gone: list[Any], null: list[Any], new: list[Any], numbers: list[Any], other: list[Any]
) -> None:
    told = copy.deepcopy(CONFIG)
    for path, value in numbers + other:
        put(told, path, value)
    for path in gone:
        put(told, path, put)
    for path in null:
        put(told, path, None)
    for path, name in new:
        put(told, (*path[:-1], f"new {name}"), {"and": ["more"]})
    served(read(told).settings)


JSON = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(allow_nan=False), st.text(max_size=12)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=6,
)


@LENIENT
@given(changes=st.lists(st.tuples(st.sampled_from(paths(CONFIG)), JSON), min_size=1, max_size=3))
def test_whatever_stands_there_is_served_or_told_in_a_line(changes: list[Any]) -> None:
    told = copy.deepcopy(CONFIG)
    for path, value in changes:
        put(told, path, value)
    bench, line = None, ""
    try:
        bench = read(told).settings
    except SettingsError as error:
        line = str(error)
    if bench is None:
        assert len(line.splitlines()) == 1
    else:
        served(bench)


@pytest.mark.parametrize("path", sorted(DEMANDED, key=str))
def test_what_can_not_be_left_out_is_named(path: tuple[Any, ...]) -> None:
    told = copy.deepcopy(CONFIG)
    put(told, path, put)
    with pytest.raises(SettingsError, match=repr(path[-1])):
        read(told)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("settings", "familyInfo", "cpus"), 0),
        (("settings", "familyInfo", "memoryKb"), -1),
        (("settings", "classes", 0, "deadline"), 0),
        (("settings", "classes", 0, "promise"), -2),
        (("settings", "classes", 0, "effect"), "odd"),
        (("settings", "classes", 0, "credit"), -1),
        (("settings", "classes"), []),
        (("stop_ms",), 0),
        (("limits", "sockets"), 0),
        (("limits",), 7),
        (("backend",), "nowhere"),
        (("seed",), "green"),
    ],
)
def test_what_makes_no_sense_ends_the_start_with_a_line_and_code_2(
    tmp_path: Path, path: tuple[Any, ...], value: Any
) -> None:
    told = copy.deepcopy(CONFIG)
    put(told, path, value)
    place = tmp_path / "config.json"
    place.write_text(json.dumps(told))
    process = start_process({"ROUTER_CONFIG": str(place)})
    try:
        out, text = process.communicate(timeout=WAIT_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        raise
    assert (process.returncode, out, len(text.splitlines())) == (2, b"", 1)


SHORT = [
    {"name": "read", "effect": "read_like", "credit": 1.0, "promise": 0.12, "deadline": 0.3},
    {"name": "pay", "effect": "non_idempotent", "credit": 1.0, "promise": 0.12, "deadline": 0.3},
    {
        "name": "book",
        "effect": "idempotency_key",
        "credit": 1,
        "promise": 0.1,
        "deadline": 0.3,
        "window": 0.2,
    },
]


@pytest.mark.parametrize(
    "changes",
    [
        {"familyInfo": {**SETTINGS["familyInfo"], "cpus": 0.5}},
        {"familyInfo": {**SETTINGS["familyInfo"], "cpus": 64, "say": "window", "halt": "suspend"}},
        {"familyInfo": {**SETTINGS["familyInfo"], "say": "share_of", "halt": "none", "gauges": []}},
        {"familyInfo": {**SETTINGS["familyInfo"], "say": "whistle", "halt": "bow", "dependsOn": "shared"}},
        {"projects": []},
        {"groupSize": 0},
        {"classes": SHORT},
        {"classes": SHORT[:1]},
        {"granularity": 0, "allowed": {}, "clientHabits": {}},
    ],
)
def test_another_customers_instance_serves(make_harness: Any, changes: dict[str, Any]) -> None:
    limits = {"cores": 0.3, "memory_mb": 24.5, "sockets": 40}
    harness = make_harness(settings={**SETTINGS, **changes}, limits=limits)
    harness.wait_until_serving()
    name = (changes.get("classes") or SETTINGS["classes"])[0]["name"]
    with harness.server.connect() as link:
        link.sendall(process_call(1, task_fields(1, service=name)))
        harness.finish_next_run(b"read")
        assert set(decode_message(next(read_frames(link)))[3]) == {0}
    assert harness.server.terminate() == 0
