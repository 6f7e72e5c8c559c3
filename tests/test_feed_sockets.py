"""The region of real processes that `lab scale` measures, in small; its oracle would notice a fault."""

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


def kept() -> AcknowledgedChanges:
    """Two changes on top of 5: of a route, and of a tenant."""
    made = AcknowledgedChanges(BASE, 5)
    made.items = {6: (("route/a", b'{"n":1}'),), 7: (("tenant/t", b"{}"),)}
    made.proposed_at, made.acknowledged_at, made.last = (
        {6: 0, 7: 10_000_000},
        {6: 1_000_000, 7: 11_000_000},
        7,
    )
    return made


def saw(**facts: Any) -> list[Report]:
    told = {"number": 7, "digest": digest_of(NEWEST), "states": [(6, 5_000_000), (7, 31_000_000)], **facts}
    return [Report([FollowerReport("i0", **told)])]


# ---- the oracle


def test_who_saw_all_as_it_was_acknowledged_is_not_at_fault() -> None:
    assert kept().faults(saw(tenants={"tenant/t": (b"{}", 7), "tenant/other": (b"old", 1)})) == []


@pytest.mark.parametrize(("facts", "words"), [
    ({"number": 6, "states": [(6, 1)]}, "ends at 6"),
    ({"digest": bytes(16)}, "ends at 7"),
    ({"digest": digest_of(BASE)}, "ends at 7"),
    ({"states": [(7, 1), (6, 2), (7, 3)]}, "went back"),
    ({"wrong": 1}, "look-ups"),
    ({"tenants": {"tenant/t": (b"old", 3)}}, "holds tenant/t as of 3"),
    ({"tenants": {"tenant/t": (None, 0)}}, "holds tenant/t as of 0"),
])  # fmt: skip
def test_a_follower_at_fault_is_named(facts: dict[str, Any], words: str) -> None:
    (fault,) = kept().faults(saw(**facts))
    assert words in fault


def test_a_number_nobody_was_told_of_and_a_change_that_was_not_made_are_named() -> None:
    made = kept()
    del made.items[6]
    made.refused.append("change-3: no keeper answers")
    found = made.faults(saw())
    assert any("changes never acknowledged: [6]" in one for one in found)
    assert "change-3: no keeper answers" in found


def test_the_time_is_from_the_acknowledgement_to_the_first_state_that_has_it() -> None:
    told = kept().latencies(saw(), [6, 7])
    assert (told["counted"], told["last_ms"], told["last_ms_from_asking"]) == (2, 20.0, 21.0)
    merged = kept().latencies(saw(states=[(7, 31_000_000)]), [6, 7])
    assert merged["last_ms"] == 30.0  # 6 came with 7


def test_what_was_told_in_two_parts_is_one_whole() -> None:
    first = saw(states=[(6, 1)], loads=1, connects=2, silent=3_000_000)
    whole = feedsockets.merge_reports(first, saw(states=[(7, 2)], connects=1, silent=2_000_000))
    assert whole[0].followers[0].states == [(6, 1), (7, 2)]
    assert connection_figures(whole) == {"connected_again": 3, "loaded_again": 1, "longest_silent_ms": 3}


# ---- what is shared, what lies on disk


def test_parts_come_to_the_state_that_a_table_comes_to_and_are_made_once() -> None:
    table = make_table(300, 0, 1)
    entries = list(table.entries("wide"))
    cut = [tuple(entries[first : first + 50]) for first in range(0, len(entries), 50)]
    loads = [SharedSnapshot(), SharedSnapshot()]
    for part in cut:
        loads = [one.update(9, tuple(part), "wide") for one in loads]
    assert {one.entry_count("wide") for one in loads} == {301}
    assert {one.digest("wide") for one in loads} == {table.digest("wide")}
    assert loads[0].table("wide") is loads[1].table("wide")
    assert dict(loads[0].table("wide").wide) == dict(table.wide)


def test_a_folder_that_was_put_in_place_is_what_a_keeper_finds_and_the_council_goes_on_from(
    tmp_path: Path,
) -> None:
    record, held, number, stored = feedsockets.write_keeper_folder(tmp_path / "k1", 50, 70, 3)
    disk = Disk(tmp_path / "k1", "feed")
    table = Archive(disk, "all").recover()
    assert table is not None
    group = decode_group(record)
    assert (table.sequence, group.changes[-1].sequence) == (number, number)
    assert table.digest("all") == group.digest_after
    assert held == {key: (value, version) for key, value, version in table.entries("wide")}
    assert (len(table.tenants), stored > 70 * 20) == (70, True)


# ---- real processes


def test_a_region_whose_relay_dies_has_all_followers_at_the_other_and_none_loads_again() -> None:
    found, faults = run_with_region(1, 3, partial(measure_full_table, 60, 40, 6, 1.5, 1, lambda text: None))
    cases = found["cases"]
    assert faults == []
    for one in cases.values():
        assert one["changes"] > 0
        assert one["counted"] == 6 * one["changes"]
        assert one["loaded_again"] == 0
    assert cases["ten times"]["relay_bytes_s"] > 0
    assert found["full table"]["relay_start_resident_bytes"] > 1 << 20


def test_what_no_follower_came_to_is_noticed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))  # its folder is kept

    async def story(region: Region) -> tuple[dict[str, Any], list[str]]:
        await region.start_from_record(b"")
        known, _, faults = await put_entries(region, 30, 1)
        changes = ChangeLoad(region, known, 30, 10, 1)
        async with run_followers(region, 2, 10, 1) as followers:
            await followers.ask("go", int)
            await changes.run(10.0, 0.5)
            await followers.wait_for(known.last)
            known.items[known.last] += (("common/never", b"{}"),)  # as if it had been acknowledged
            faults += known.faults(await followers.report())
        return {}, faults

    _, faults = run_with_region(1, 1, story)
    assert ["ends at" in one for one in faults] == [True, True]


def test_rows_are_made_of_every_size() -> None:
    names = ("relay_bytes_s", "relay_core", "relay_resident_bytes", "follower_core", "follower_core_alone",
             "last_ms", "cold_s", "cold_bytes")  # fmt: skip
    found = {str(many): {"followers": many, **{name: many for name in names}} for many in feedsockets.SIZES}
    rows = feedsockets.rows_of(found)
    assert {row["shape"] for row in rows} == {"linear"}
    assert next(row for row in rows if row["name"] == "region: a relay's core")["at"] == 330
    assert slopes.per_one(rows[0]).endswith("a follower")
