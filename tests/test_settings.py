"""Tests of settings that differ from the usual ones.

The server serves with all valid settings, and rejects invalid settings with an error message of one line.
"""

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

# Paths of the keys without which the server can't start or the policy can't decide; all other keys may be
# left out.
REQUIRED_PATHS = {
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


def key_paths(value: Any, prefix: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the path of each key, at any depth."""
    found: list[tuple[Any, ...]] = []
    pairs = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, inner in pairs:
        if isinstance(value, dict):
            found.append((*prefix, key))
        found += key_paths(inner, (*prefix, key))
    return found


OPTIONAL_PATHS = sorted(set(key_paths(CONFIG)) - REQUIRED_PATHS, key=str)
NUMBER_PATHS = [
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
TEXT_PATHS = [
    ("settings", "familyInfo", "say"),
    ("settings", "familyInfo", "halt"),
    ("settings", "familyInfo", "dependsOn"),
]


def set_value(config: dict[str, Any], path: tuple[Any, ...], value: Any) -> None:
    """Sets the value at a path, or removes its key if the value is `set_value` itself."""
    target: Any = config
    for key in path[:-1]:
        try:
            target = target[key]
        except (KeyError, IndexError, TypeError):
            return  # an earlier change removed the object that has the key
    if isinstance(target, dict):
        if value is set_value:
            target.pop(path[-1], None)
        else:
            target[path[-1]] = value


def read_config(config: dict[str, Any]) -> Configuration:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        return read_configuration({"ROUTER_CONFIG": str(path)})


def check_serves(server_settings: ServerSettings) -> None:
    """Checks that the policy runs without an error and a task of each stage gets one answer in time."""
    config = {
        name: getattr(server_settings, name)
        for name in ServerSettings.__dataclass_fields__
        if name != "stages"
    }
    harness = MachineHarness(stages=server_settings.stages, **config)
    sent_at = harness.now
    for index, stage in enumerate(server_settings.stages):
        dedup_key = "7" if stage.effect == "keyed" else None
        harness.send(index, dedup_key, stage_index=index)
    for _ in range(40):
        harness.wait(SECOND // 4)
        for name in harness.launched():
            if name in harness.machine.at_agent:
                harness.end(name)
    # A task that never fits into the memory is answered at its timeout, which may be longer than these 10 s.
    timeouts = [stage.timeout for stage in server_settings.stages]
    assert len(harness.answers()) >= sum(timeout < 10 * SECOND for timeout in timeouts)
    harness.now = max(harness.now, sent_at + max(timeouts))
    harness.wait(SECOND)
    assert harness.machine.context.figures.get("faults", 0) == 0
    assert len(harness.answers()) == len(server_settings.stages)


PROPERTY_TEST = settings(
    max_examples=120, deadline=None, suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large]
)
POSITIVE = st.one_of(
    st.integers(1, 10**6), st.floats(0.01, 1000.0, allow_nan=False), st.sampled_from([0.25, 0.5, 1, 1.5, 96])
)


@PROPERTY_TEST
@given(
    removed=st.lists(st.sampled_from(OPTIONAL_PATHS), max_size=8),
    nulled=st.lists(st.sampled_from(OPTIONAL_PATHS), max_size=4),
    unknown=st.lists(st.tuples(st.sampled_from(key_paths(CONFIG)), st.text(max_size=9)), max_size=4),
    numbers=st.lists(st.tuples(st.sampled_from(NUMBER_PATHS), POSITIVE), max_size=5),
    texts=st.lists(st.tuples(st.sampled_from(TEXT_PATHS), st.text(max_size=9)), max_size=2),
)
def test_valid_settings_are_read_and_served(
    removed: list[Any], nulled: list[Any], unknown: list[Any], numbers: list[Any], texts: list[Any]
) -> None:
    config = copy.deepcopy(CONFIG)
    for path, value in numbers + texts:
        set_value(config, path, value)
    for path in removed:
        set_value(config, path, set_value)
    for path in nulled:
        set_value(config, path, None)
    for path, name in unknown:
        set_value(config, (*path[:-1], f"new {name}"), {"and": ["more"]})
    check_serves(read_config(config).settings)


JSON = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(allow_nan=False), st.text(max_size=12)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=6,
)


@PROPERTY_TEST
@given(changes=st.lists(st.tuples(st.sampled_from(key_paths(CONFIG)), JSON), min_size=1, max_size=3))
def test_any_value_is_served_or_rejected_with_one_line(changes: list[Any]) -> None:
    config = copy.deepcopy(CONFIG)
    for path, value in changes:
        set_value(config, path, value)
    server_settings, message = None, ""
    try:
        server_settings = read_config(config).settings
    except SettingsError as error:
        message = str(error)
    if server_settings is None:
        assert len(message.splitlines()) == 1
    else:
        check_serves(server_settings)


@pytest.mark.parametrize("path", sorted(REQUIRED_PATHS, key=str))
def test_error_names_missing_required_key(path: tuple[Any, ...]) -> None:
    config = copy.deepcopy(CONFIG)
    set_value(config, path, set_value)
    with pytest.raises(SettingsError, match=repr(path[-1])):
        read_config(config)


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
def test_invalid_settings_exit_2_with_one_line(tmp_path: Path, path: tuple[Any, ...], value: Any) -> None:
    config = copy.deepcopy(CONFIG)
    set_value(config, path, value)
    config_path = tmp_path / "config.json"
    config_path.write_text(json.dumps(config))
    process = start_process({"ROUTER_CONFIG": str(config_path)})
    try:
        stdout, stderr = process.communicate(timeout=WAIT_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        raise
    assert (process.returncode, stdout, len(stderr.splitlines())) == (2, b"", 1)


SHORT_DEADLINE_CLASSES = [
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
        {"classes": SHORT_DEADLINE_CLASSES},
        {"classes": SHORT_DEADLINE_CLASSES[:1]},
        {"granularity": 0, "allowed": {}, "clientHabits": {}},
    ],
)
def test_server_serves_with_unusual_settings(make_harness: Any, changes: dict[str, Any]) -> None:
    limits = {"cores": 0.3, "memory_mb": 24.5, "sockets": 40}
    harness = make_harness(settings={**SETTINGS, **changes}, limits=limits)
    harness.wait_until_serving()
    name = (changes.get("classes") or SETTINGS["classes"])[0]["name"]
    with harness.server.connect() as connection:
        connection.sendall(process_call(1, task_fields(1, service=name)))
        harness.finish_next_run(b"read")
        assert set(decode_message(next(read_frames(connection)))[3]) == {0}
    assert harness.server.terminate() == 0
