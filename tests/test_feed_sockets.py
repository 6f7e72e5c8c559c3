"""The region of real processes that `lab scale` measures, at small size, and what its oracle reports."""

from functools import partial
from pathlib import Path
from typing import Any

import pytest

from thistleline.config_feed.archive import Archive
from thistleline.config_feed.messages import decode_group
from thistleline.config_feed.table import entry_hash
from thistleline.lab.scale import feedsockets, slopes
from thistleline.lab.scale.feed import make_table
from thistleline.lab.scale.feedsockets import (
    AcknowledgedChanges,
    ChangeLoad,
    Region,
    connection_figures,
    measure_full_table,
    put_entries,
    run_followers,
    run_with_region,
)
from thistleline.lab.scale.followers import FollowerReport, Report, SharedSnapshot
from thistleline.store.disk import Disk

BASE = {"route/a": (b"{}", 4), "common/x": (b"1", 5)}
NEWEST = {"route/a": (b'{"n":1}', 6), "common/x": (b"1", 5)}


def digest_of(entries: dict[str, tuple[bytes, int]]) -> bytes:
    return (sum(entry_hash(key, *one) for key, one in entries.items()) % (1 << 128)).to_bytes(16, "big")


def acknowledged_changes() -> AcknowledgedChanges:
    """Two changes on top of 5: of a route, and of a tenant."""
    changes = AcknowledgedChanges(BASE, 5)
    changes.items = {6: (("route/a", b'{"n":1}'),), 7: (("tenant/t", b"{}"),)}
    changes.proposed_at, changes.acknowledged_at, changes.last = (
        {6: 0, 7: 10_000_000},
        {6: 1_000_000, 7: 11_000_000},
        7,
    )
    return changes


def reports_of(**facts: Any) -> list[Report]:
    report = {"number": 7, "digest": digest_of(NEWEST), "states": [(6, 5_000_000), (7, 31_000_000)], **facts}
    return [Report([FollowerReport("i0", **report)])]


# ---- the oracle


def test_follower_that_saw_the_acknowledged_changes_has_no_fault() -> None:
    assert (
        acknowledged_changes().faults(
            reports_of(tenants={"tenant/t": (b"{}", 7), "tenant/other": (b"old", 1)})
        )
        == []
    )


@pytest.mark.parametrize(("facts", "words"), [
    ({"number": 6, "states": [(6, 1)]}, "ends at 6"),
    ({"digest": bytes(16)}, "ends at 7"),
    ({"digest": digest_of(BASE)}, "ends at 7"),
    ({"states": [(7, 1), (6, 2), (7, 3)]}, "went back"),
    ({"wrong": 1}, "look-ups"),
    ({"tenants": {"tenant/t": (b"old", 3)}}, "holds tenant/t as of 3"),
    ({"tenants": {"tenant/t": (None, 0)}}, "holds tenant/t as of 0"),
])  # fmt: skip
def test_follower_with_a_fault_is_reported(facts: dict[str, Any], words: str) -> None:
    (fault,) = acknowledged_changes().faults(reports_of(**facts))
    assert words in fault


def test_unacknowledged_number_and_refused_change_are_reported() -> None:
    changes = acknowledged_changes()
    del changes.items[6]
    changes.refused.append("change-3: no keeper answers")
    faults = changes.faults(reports_of())
    assert any("changes never acknowledged: [6]" in fault for fault in faults)
    assert "change-3: no keeper answers" in faults


def test_latency_is_from_the_acknowledgement_to_the_first_state_with_the_change() -> None:
    latencies = acknowledged_changes().latencies(reports_of(), [6, 7])
    assert (latencies["counted"], latencies["last_ms"], latencies["last_ms_from_asking"]) == (2, 20.0, 21.0)
    merged = acknowledged_changes().latencies(reports_of(states=[(7, 31_000_000)]), [6, 7])
    assert merged["last_ms"] == 30.0  # 6 arrived together with 7


def test_two_reports_are_merged() -> None:
    first = reports_of(states=[(6, 1)], loads=1, connects=2, silent=3_000_000)
    merged = feedsockets.merge_reports(first, reports_of(states=[(7, 2)], connects=1, silent=2_000_000))
    assert merged[0].followers[0].states == [(6, 1), (7, 2)]
    assert connection_figures(merged) == {"connected_again": 3, "loaded_again": 1, "longest_silent_ms": 3}


# ---- shared tables, and folders on disk


def test_shared_snapshot_equals_the_table_and_is_made_once() -> None:
    table = make_table(300, 0, 1)
    entries = list(table.entries("wide"))
    parts = [tuple(entries[first : first + 50]) for first in range(0, len(entries), 50)]
    snapshots = [SharedSnapshot(), SharedSnapshot()]
    for part in parts:
        snapshots = [snapshot.update(9, tuple(part), "wide") for snapshot in snapshots]
    assert {snapshot.entry_count("wide") for snapshot in snapshots} == {301}
    assert {snapshot.digest("wide") for snapshot in snapshots} == {table.digest("wide")}
    assert snapshots[0].table("wide") is snapshots[1].table("wide")
    assert dict(snapshots[0].table("wide").wide) == dict(table.wide)


def test_written_folder_is_recovered_and_ends_with_the_first_record(
    tmp_path: Path,
) -> None:
    record, held, number, disk_bytes = feedsockets.write_keeper_folder(tmp_path / "k1", 50, 70, 3)
    disk = Disk(tmp_path / "k1", "feed")
    table = Archive(disk, "all").recover()
    assert table is not None
    group = decode_group(record)
    assert (table.sequence, group.changes[-1].sequence) == (number, number)
    assert table.digest("all") == group.digest_after
    assert held == {key: (value, version) for key, value, version in table.entries("wide")}
    assert (len(table.tenants), disk_bytes > 70 * 20) == (70, True)


# ---- real processes


def test_followers_of_a_dead_relay_move_to_the_other_without_reloading() -> None:
    found, faults = run_with_region(1, 3, partial(measure_full_table, 60, 40, 6, 1.5, 1, lambda text: None))
    cases = found["cases"]
    assert faults == []
    for one in cases.values():
        assert one["changes"] > 0
        assert one["counted"] == 6 * one["changes"]
        assert one["loaded_again"] == 0
    assert cases["ten times"]["relay_bytes_s"] > 0
    assert found["full table"]["relay_start_resident_bytes"] > 1 << 20


def test_change_that_no_follower_received_is_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))  # the run keeps its folder

    async def scenario(region: Region) -> tuple[dict[str, Any], list[str]]:
        await region.start_from_record(b"")
        acknowledged, _, faults = await put_entries(region, 30, 1)
        changes = ChangeLoad(region, acknowledged, 30, 10, 1)
        async with run_followers(region, 2, 10, 1) as followers:
            await followers.ask("go", int)
            await changes.run(10.0, 0.5)
            await followers.wait_for(acknowledged.last)
            # Pretends that one more item was acknowledged.
            acknowledged.items[acknowledged.last] += (("common/never", b"{}"),)
            faults += acknowledged.faults(await followers.report())
        return {}, faults

    _, faults = run_with_region(1, 1, scenario)
    assert ["ends at" in fault for fault in faults] == [True, True]


def test_rows_have_every_size() -> None:
    names = ("relay_bytes_s", "relay_core", "relay_resident_bytes", "follower_core", "follower_core_alone",
             "last_ms", "cold_s", "cold_bytes")  # fmt: skip
    found = {
        str(count): {"followers": count, **{name: count for name in names}} for count in feedsockets.SIZES
    }
    rows = feedsockets.rows_of(found)
    assert {row["shape"] for row in rows} == {"linear"}
    assert next(row for row in rows if row["name"] == "region: a relay's core")["at"] == 330
    assert slopes.per_one(rows[0]).endswith("a follower")
