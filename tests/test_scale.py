"""Slopes, budgets and the page made of them; and the operation counts that may not grow."""

import gc
import json
import re
from collections.abc import Iterator
from importlib import import_module
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from thistleline.cli.main import entry
from thistleline.interface import ServerSettings
from thistleline.lab.scale import PARTS, slopes, without_times
from thistleline.lab.scale.budget import Measurements, NotMeasuredError, budget_lines, rank_candidates
from thistleline.lab.scale.page import (
    PAGE,
    PageError,
    Runs,
    drift,
    figure_tables,
    fill_tables,
    read_runs,
    tables,
)
from thistleline.lab.scale.page import main as page_command
from thistleline.lab.scale.settings_costs import HollowRollout, steps_of_look
from thistleline.lab.scale.settings_text import text_of
from thistleline.lab.scale.size import FOLDER, read_plan, size
from thistleline.lab.scale.slopes import Part, Row, grows_within, judge, memory_of, row, steps_of
from thistleline.lab.scale.tenants import (
    count_quota_updates,
    make_policy,
    make_settings,
    quota_update,
    start_policy,
    steps_of_task,
    tick,
)
from thistleline.policy import SECOND, TICK, WINDOW, Policy
from thistleline.supervisor.settings import unfit_settings
from thistleline.wire.settings import read_server_settings

SIZES = (10, 30, 100, 300)
SQUARE_BY_STAGE = [("tenant", "tenants", "linear"), ("stage", "routes", "square")]


def of(values: list[float], sizes: tuple[int, ...] = SIZES, at: int = 10_000) -> Row:
    return row("x", "count", "steps", "thing", sizes, values, at)


# ---- fits


@pytest.mark.parametrize(
    ("cost", "shape", "slope", "base", "at_size"),
    [
        (lambda n: 7.0, "flat", 0.0, 7.0, 7.0),
        (lambda n: 0.0, "flat", 0.0, 0.0, 0.0),
        (lambda n: 3.0 * n, "linear", 3.0, 0.0, 30_000.0),
        (lambda n: 1000 + 3.0 * n, "linear", 3.0, 1000.0, 31_000.0),  # the base hides the exponent
        (lambda n: 0.5 * n * n, "square", 0.5, 0.0, 5e7),
        (lambda n: 400 + 90.0 * n + 2.0 * n * n, "square", 2.0, 400.0, 400 + 9e5 + 2e8),
    ],
)
def test_a_known_cost_is_named_and_carried_to_the_size(
    cost: Any, shape: str, slope: float, base: float, at_size: float
) -> None:
    found = of([cost(n) for n in SIZES])
    assert found["shape"] == shape
    assert found["slope"] == pytest.approx(slope, abs=1e-6)
    assert found["base"] == pytest.approx(base, abs=1e-6)
    assert found["at_size"] == pytest.approx(at_size)
    assert found["residual"] < 1e-6
    assert not found["inside"]


def test_between_the_classes_it_is_a_power_law() -> None:
    found = of([float(n) ** 1.5 for n in SIZES])
    assert found["shape"] == "other"
    assert found["exponent"] == pytest.approx(1.5)
    assert found["at_size"] == pytest.approx(10_000**1.5)


def test_a_logarithm_over_a_line_is_seen() -> None:
    import numpy as np

    assert of([float(n * np.log2(n)) for n in SIZES])["shape"] == "n log n"


@settings(max_examples=60, deadline=None)
@given(
    slope=st.floats(0.1, 1e4),
    exponent=st.sampled_from([1, 2]),
    noise=st.lists(st.floats(-0.05, 0.05), min_size=4, max_size=4),
)
def test_noise_of_a_twentieth_does_not_make_a_line_a_square(
    slope: float, exponent: int, noise: list[float]
) -> None:
    found = of([slope * n**exponent * (1 + off) for n, off in zip(SIZES, noise, strict=True)])
    assert found["shape"] != ("square" if exponent == 1 else "linear")
    assert found["shape"] != "flat"
    assert found["exponent"] == pytest.approx(exponent, abs=0.1)


@pytest.mark.parametrize("sizes", [(10, 30, 100), (10, 20, 30, 90)])
def test_too_few_sizes_or_too_near_say_nothing(sizes: tuple[int, ...]) -> None:
    with pytest.raises(ValueError, match="four sizes"):
        of([1.0 for _ in sizes], sizes)


def test_what_lies_between_the_measured_sizes_is_inside() -> None:
    assert of([1.0, 3.0, 10.0, 30.0], at=200)["inside"]
    assert not of([1.0, 3.0, 10.0, 30.0], at=5)["inside"]


def test_steps_are_the_same_each_time_and_the_tracer_before_is_put_back() -> None:
    import sys

    def work() -> int:
        return sum(one for one in range(50))

    before = sys.gettrace()
    assert steps_of(work) == steps_of(work) > 50
    assert sys.gettrace() is before


def test_memory_is_what_is_held_and_the_most_while_it_was_made() -> None:
    held, most = memory_of(lambda: bytes(len(bytes(300_000)) // 3))
    assert 100_000 <= held < 110_000
    assert most >= 300_000


def test_a_time_is_held_against_the_loop_of_its_own_moment(monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine that turns half as fast between two runs gives the same loops."""
    clock = iter([0.0, 1.0, 0.0, 10.0, 0.0, 1.0, 0.0, 2.0, 0.0, 20.0, 0.0, 2.0])
    monkeypatch.setattr(slopes, "process_time", lambda: next(clock))
    monkeypatch.setattr(slopes, "loop_cpu", lambda: slopes.cpu_of(lambda: None, 1))
    assert slopes.loops_of(lambda: None, 1) == (10.0, 10.0)
    assert slopes.loops_of(lambda: None, 1) == (10.0, 20.0)


@pytest.mark.parametrize(
    ("value", "told"),
    [(0, "0"), (1024, "1,024"), (1000.6, "1,000"), (67_108_864, "67,100,000"), (0.02349, "0.0235")],
)
def test_numbers_are_told_by_three_digits(value: float, told: str) -> None:
    assert slopes.number(value) == told


# ---- operation counts: a slope that grows fails here


def held_to(name: str, promised: Any, sizes: tuple[int, ...], values: list[int], at: str) -> None:
    found = row(name, "count", "steps", "one", sizes, values, size(at))
    told = dict(zip(sizes, values, strict=True))
    assert grows_within(found, promised), f"{name} is promised {promised}: {told}"


def test_a_task_costs_the_same_whatever_tenants_there_are() -> None:
    held_to("a task", "flat", SIZES, [steps_of_task(make_policy(3, n, 1)) for n in SIZES], "tenants")


def test_a_task_costs_the_same_whatever_stages_there_are() -> None:
    held_to("a task", "flat", SIZES, [steps_of_task(make_policy(n, 3, 1)) for n in SIZES], "routes")


@pytest.mark.parametrize(("per", "at"), [("tenant", "tenants"), ("stage", "routes")])
def test_a_tick_that_weighs_nothing_costs_the_same(per: str, at: str) -> None:
    values = []
    for n in SIZES:
        policy = make_policy(3, n, 1) if per == "tenant" else make_policy(n, 3, 1)
        out = start_policy(policy)
        values.append(steps_of(lambda policy=policy, out=out: tick(policy, out)))  # type: ignore[misc]
    held_to("a tick", "flat", SIZES, values, at)


@pytest.mark.parametrize(("per", "at"), [("tenant", "tenants"), ("stage", "routes")])
def test_a_tick_that_steers_grows_no_faster_than_what_is_held(per: str, at: str) -> None:
    values = []
    for n in SIZES:
        policy = make_policy(3, n, 1) if per == "tenant" else make_policy(n, 3, 1)
        out = start_policy(policy)
        for _ in range(WINDOW - 1):
            tick(policy, out)
        values.append(steps_of(lambda policy=policy, out=out: tick(policy, out)))  # type: ignore[misc]
    held_to("a steering tick", "linear", SIZES, values, at)


def test_owners_are_weighed_once_a_window_and_not_each_tick() -> None:
    assert count_quota_updates(10 * WINDOW) == 10


def test_a_weighing_grows_no_faster_than_the_tenants() -> None:
    values = [steps_of(quota_update(make_policy(3, n, 1))) for n in SIZES]
    held_to("_weigh_owners", "linear", SIZES, values, "tenants")


@pytest.mark.parametrize(("per", "at", "promised"), SQUARE_BY_STAGE)
def test_a_start_grows_no_faster_than_it_does(per: str, at: str, promised: str) -> None:
    benches = [make_settings(3, n, 1) if per == "tenant" else make_settings(n, 3, 1) for n in SIZES]
    values = [steps_of(lambda bench=bench: Policy(bench, 1, SECOND)) for bench in benches]  # type: ignore[misc]
    held_to("a start", promised, SIZES, values, at)


@pytest.mark.parametrize(("per", "at"), [("tenant", "tenants"), ("stage", "routes")])
def test_the_check_of_settings_grows_no_faster_than_they_do(per: str, at: str) -> None:
    sizes = (10, 30, 60, 120)
    texts = [text_of(3, n, 1) if per == "tenant" else text_of(n, 3, 1) for n in sizes]
    assert [unfit_settings(one) for one in texts] == [""] * len(sizes)
    values = [steps_of(lambda one=one: unfit_settings(one)) for one in texts]  # type: ignore[misc]
    held_to("unfit_settings", "linear", sizes, values, at)


@pytest.mark.parametrize(("per", "at"), [("tenant", "tenants"), ("stage", "routes")])
def test_reading_settings_grows_no_faster_than_they_do(per: str, at: str) -> None:
    told = [json.loads(text_of(3, n, 1) if per == "tenant" else text_of(n, 3, 1)) for n in SIZES]
    values = [steps_of(lambda one=one: read_server_settings(one)) for one in told]  # type: ignore[misc]
    held_to("read_server_settings", "linear", SIZES, values, at)


def test_a_change_takes_a_look_and_a_want_for_each_instance_and_no_more() -> None:
    fleets = (15, 30, 60, 150)
    carried = [HollowRollout(n).run() for n in fleets]
    assert all(one.settings == [2] * n for one, n in zip(carried, fleets, strict=True))
    held_to("looks", "linear", fleets, [one.looks for one in carried], "instances")
    held_to("wants", "linear", fleets, [one.wants for one in carried], "instances")


def test_a_look_at_a_fleet_at_rest_grows_no_faster_than_the_fleet() -> None:
    fleets = (15, 30, 60, 150)
    held_to("a look", "linear", fleets, [steps_of_look(n) for n in fleets], "instances")


# ---- the check can fail


def doctored(settings: ServerSettings) -> Policy:
    """A policy that looks through all tenants for each task."""
    policy = Policy(settings, 1, SECOND)
    bucket_of = policy.state.shedder.bucket_of

    def slow_bucket_of(task: Any) -> int:
        return bucket_of(task) + 0 * sum(1 for tenant in settings.tenants if tenant.quota < 0)

    policy.state.shedder.bucket_of = slow_bucket_of  # type: ignore[method-assign]
    return policy


def test_a_task_that_looks_through_all_tenants_is_called_linear() -> None:
    values = [steps_of_task(doctored(make_settings(3, n, 1))) for n in SIZES]
    found = row("a task", "count", "steps", "tenant", SIZES, values, size("tenants"))
    assert found["shape"] == "linear"
    assert not grows_within(found, "flat")
    assert judge([found], {"a task": "flat"}) == {"a task: flat": False}
    with pytest.raises(AssertionError, match="promised flat"):
        held_to("a task", "flat", SIZES, values, "tenants")


def test_a_line_hidden_under_a_base_is_not_taken_for_flat() -> None:
    found = of([1000 + 0.1 * n for n in SIZES], at=1_300_000)
    assert found["exponent"] < 0.15
    assert not grows_within(found, "flat")


def test_a_read_that_compares_each_with_each_is_called_square() -> None:
    def read(bench: ServerSettings) -> int:
        return sum(one.name == other.name for one in bench.stages for other in bench.stages)

    benches = [make_settings(n, 3, 1) for n in SIZES]
    values = [steps_of(lambda bench=bench: read(bench)) for bench in benches]  # type: ignore[misc]
    found = row("read", "count", "steps", "stage", SIZES, values, size("routes"))
    assert found["shape"] == "square"
    assert not grows_within(found, "linear")
    assert grows_within(found, "square")


def test_a_cube_is_worse_than_a_square() -> None:
    assert not grows_within(of([float(n) ** 3 for n in SIZES]), "square")


# ---- budgets


def measured(**figures: Any) -> Measurements:
    found = of([2.0 * n for n in SIZES], at=1000)
    timed = Row(**{**found, "name": "t", "kind": "time", "unit": "loops"})
    return Measurements({"limit": 3000, "other": 4}, {"p": [found, timed]}, {"p": {"loop_s": 0.5, **figures}})


def line(limit: float, *parts: list[Any]) -> Any:
    told = {"name": "b", "unit": "bytes", "limit": [limit], "carried_by": "it",
            "part": [{"what": f"w{place}", "is": terms} for place, terms in enumerate(parts)]}  # fmt: skip
    return budget_lines([told], measured())[0]


@pytest.mark.parametrize(
    ("limit", "parts", "verdict"),
    [
        (2001, (["row p/x"],), "held"),
        (1999, (["row p/x"],), "missed"),
        (2001, (["row p/x"], []), "not measured"),
        (2001, (["row p/x"], ["row p/who"]), "not measured"),
        (1999, (["row p/x"], []), "missed"),  # what is known is too much already
        (2001, (), "not measured"),
        (999, (["row p/t"],), "missed"),  # a thousand seconds: 2,000 loops of half a second
        (1001, (["row p/t"],), "held"),
    ],
)
def test_a_budget_is_held_missed_or_not_measured(limit: float, parts: Any, verdict: str) -> None:
    assert line(limit, *parts).verdict == verdict


def test_terms_multiply_divide_and_name_the_code() -> None:
    known = measured(f=6)
    assert known.product(["figure p/f", "per size other", 2]) == 3.0
    assert known.product(["code thistleline.policy.WINDOW"]) == WINDOW
    assert known.product(["slope p/x"]) == pytest.approx(2.0)
    assert known.product(["slope p/t"]) == pytest.approx(1.0)  # in seconds
    assert known.product(["figure p/none"]) is None
    with pytest.raises(NotMeasuredError):
        known.value("row p/none")
    with pytest.raises(ValueError, match="no term"):
        known.value("speed of light")
    assert known.is_extrapolated(["row p/x"])


def test_a_figure_made_of_several_is_told_by_its_way() -> None:
    measured = Measurements({}, {}, {"feed": {"cases": {"calm": {"last_ms": 400}}, "a/b": 3}})
    assert measured.value("figure feed/cases/calm/last_ms") == 400
    assert measured.value("figure feed/a/b") == 3
    for unknown in ("feed/cases/calm", "feed/cases/calm/last_ms/more", "feed/cases/storm/last_ms", "none/x"):
        with pytest.raises(NotMeasuredError):
            measured.value(f"figure {unknown}")


def test_the_candidate_furthest_beyond_comes_first_and_the_unmeasured_last() -> None:
    def told(name: str, need: list[Any], carries: list[Any]) -> dict[str, Any]:
        return {"name": name, "unit": "u", "need": need, "carries": carries, "carried_by": "x", "bound": "y"}

    found = rank_candidates([told("a", [4], [2]), told("b", [], [2]), told("c", [90], [9])], measured())
    assert [(one.name, one.ratio) for one in found] == [("c", 10.0), ("a", 2.0), ("b", None)]


def dotted(plan: dict[str, Any]) -> Iterator[str]:
    for one in (*plan["budget"], *plan["candidate"]):
        if "bound" in one:
            yield one["bound"]


@pytest.mark.parametrize("name", sorted(set(dotted(read_plan()))))
def test_the_bounds_that_stand_in_the_way_are_in_the_code(name: str) -> None:
    words = name.split(".")
    for cut in range(len(words) - 1, 0, -1):
        try:
            found: Any = import_module(".".join(words[:cut]))
        except ModuleNotFoundError:
            continue
        for word in words[cut:]:
            found = getattr(found, word)
        return
    pytest.fail(f"there is no {name}")


# ---- the page


def a_run(**changes: Any) -> dict[str, Any]:
    rows = [of([2.0 * n for n in SIZES])]
    return {"rows": {"p": rows}, "figures": {"p": {"loop_s": 0.5}}, "bars": {"p: x: linear": True}, "seed": 1,
            "quick": False, **changes}  # fmt: skip


PLAN: dict[str, Any] = {"size": {}, "budget": [], "candidate": []}
TEXT = "# Words\n\n<!-- table p -->\nold\n<!-- end -->\nmore words\n\n<!-- table runs -->\n<!-- end -->\n"


def test_the_tables_are_filled_and_the_words_between_stay() -> None:
    made = fill_tables(TEXT, tables(Runs({"one.json": a_run()}), PLAN))
    assert "old" not in made
    assert "| x | 10, 30, 100, 300 | 1 | 2 steps a thing | linear, n^1.00 | 0.0% |" in made
    assert "| 20,000 steps at 10,000 | beyond 300 |" in made
    assert made.startswith("# Words\n")
    assert "\nmore words\n" in made
    assert "| one.json | p | 1 | long | 1 of 1 |" in made
    assert fill_tables(made, tables(Runs({"one.json": a_run()}), PLAN)) == made


def test_a_figure_made_of_several_is_a_table_of_its_own() -> None:
    told = figure_tables("p", {
        "cases": {"calm": {"last_ms": 1200, "held": True}, "storm": {"last_ms": 2.5}, "refused": 0},
        "bounds": {"bytes_a_word": 98_765}, "day: words_a_second": 1.25, "loop_s": 0.1, "none": {},
    })  # fmt: skip
    assert set(told) == {"p/cases", "p/cases/calm", "p/cases/storm", "p/bounds", "p/day"}
    assert told["p/cases"].splitlines()[2:] == ["| calm | 1,200 | True |", "| storm | 2.5 |  |"]
    assert "| bytes a word | 98,765 |" in told["p/bounds"]
    assert "| words a second | 1.25 |" in told["p/day"]


def test_a_figure_changed_by_hand_is_caught(tmp_path: Path) -> None:
    (tmp_path / "one.json").write_text(json.dumps(a_run()))
    page = tmp_path / "PAGE.md"
    page.write_text(TEXT)
    words = ["--page", str(page), "--runs", str(tmp_path)]
    assert CliRunner().invoke(page_command, words).exit_code == 0
    assert CliRunner().invoke(page_command, [*words, "--check"]).exit_code == 0
    page.write_text(page.read_text().replace("2 steps a thing", "1 steps a thing"))
    told = CliRunner().invoke(page_command, [*words, "--check"])
    assert told.exit_code == 1
    assert "-| x |" in told.output
    assert "1 steps a thing" in page.read_text()  # a check writes nothing


def test_a_run_that_changed_is_caught() -> None:
    before = fill_tables(TEXT, tables(Runs({"one.json": a_run()}), PLAN))
    after = a_run(rows={"p": [of([3.0 * n for n in SIZES])]})
    assert drift(before, fill_tables(before, tables(Runs({"one.json": after}), PLAN)))


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("<!-- table q -->\n<!-- end -->\n", "no run has"),
        ("<!-- table p -->\n<!-- table p -->\n<!-- end -->\n", "does not end"),
        ("<!-- table p -->\n", "does not end"),
        ("<!-- end -->\n", "an end without"),
    ],
)
def test_a_page_that_cannot_be_filled_says_why(text: str, why: str) -> None:
    with pytest.raises(PageError, match=why):
        fill_tables(text, tables(Runs({"one.json": a_run()}), PLAN))


def test_two_runs_of_one_part_or_none_at_all_are_refused(tmp_path: Path) -> None:
    with pytest.raises(PageError, match="already"):
        Runs({"one.json": a_run(), "two.json": a_run()})
    (tmp_path / "one.json").write_text("[1]")
    with pytest.raises(PageError, match="no run"):
        read_runs(tmp_path)


def test_the_page_says_what_the_runs_gave() -> None:
    page = PAGE.read_text(encoding="utf-8")
    assert re.search("<!-- table ", page)
    assert drift(page, fill_tables(page, tables(read_runs(FOLDER), read_plan()))) == []


def test_steps_are_the_same_whatever_is_there_to_collect() -> None:
    class Ends:
        def __init__(self) -> None:
            self.self = self

        def __del__(self) -> None:
            sum(range(3))

    def call() -> list[list[int]]:
        return [[] for _ in range(5_000)]

    alone = slopes.steps_of(call)
    for _ in range(50):
        Ends()
    assert slopes.steps_of(call) == alone
    assert gc.isenabled()


def test_parts_beside_each_other_tell_what_they_tell_one_after_the_other() -> None:
    """A quick run's counts are the same in a process of its own, in the order of the parts."""
    import thistleline.lab.scale as scale

    parts = ("council", "tenants")
    beside, lines = list(scale._measure_parts(parts, True, 1, lambda line: None)), list[str]()
    alone = [next(scale._measure_parts((part,), True, 1, lines.append)) for part in parts]
    assert [one["bars"] for one in beside] == [one["bars"] for one in alone]
    counts = [
        [(row["name"], row["values"]) for one in told for row in one["rows"] if row["kind"] == "count"]
        for told in (beside, alone)
    ]
    assert counts[0] == counts[1]
    assert lines


# ---- the command


def test_each_part_that_is_listed_has_a_name_of_its_own_and_measures() -> None:
    parts = [import_module(f"thistleline.lab.scale.{name}") for name in PARTS]
    assert len({part.NAME for part in parts}) == len(parts)
    assert all(callable(part.measure) for part in parts)


def test_the_command_ends_with_one_line_and_the_exit_code_of_its_bars(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    import thistleline.lab.scale as scale

    def measure_with(values: list[float]) -> Any:
        def measure(quick: bool, seed: int, tell: Any) -> Part:
            rows = [of(values)]
            figures = {"loop_s": 0.5, "by size": {10: 1}}
            return Part(rows=rows, figures=figures, bars=judge(rows, {"x": "flat"}))

        return measure

    part = import_module("thistleline.lab.scale.tenants")
    monkeypatch.setattr(scale, "PARTS", ("tenants",))
    for values, code in (([5.0] * 4, 0), ([float(n) for n in SIZES], 1)):
        monkeypatch.setattr(part, "measure", measure_with(values))
        kept, picture = tmp_path / "run.json", tmp_path / "run.png"
        words = ["lab", "scale", "--quick", "--json", str(kept), "--plot", str(picture)]
        told = CliRunner().invoke(entry, words)
        assert told.exit_code == code, told.output
        last = json.loads(told.stdout.splitlines()[-1])
        assert last == json.loads(kept.read_text())
        assert last["held"] == (code == 0)
        assert last["rows"]["policy"][0]["sizes"] == list(SIZES)
        assert "not measured" in last["figures"]["budget"]["an instance: memory"]
        assert last["figures"]["budget"]["machines for control"].startswith("held: 27 of 28")  # by settings
        assert picture.read_bytes().startswith(b"\x89PNG")


def test_a_budget_of_a_quick_run_does_not_rest_on_times() -> None:
    timed = Row(**{**of([2.0 * n for n in SIZES]), "name": "t", "kind": "time", "unit": "loops"})
    rows = without_times({"p": [of([2.0 * n for n in SIZES]), timed]})
    assert [one["name"] for one in rows["p"]] == ["x"]


@pytest.mark.parametrize(("lab", "part"), [("scale", "nonsense"), ("zones", "members")])
def test_a_lab_without_that_part_says_so(lab: str, part: str) -> None:
    told = CliRunner().invoke(entry, ["lab", lab, "--quick", "--part", part])
    assert (told.exit_code, f"has no part {part}" in told.output) == (2, True)


def test_a_lab_without_a_plot_says_so_and_measures_nothing(tmp_path: Path) -> None:
    told = CliRunner().invoke(entry, ["lab", "members", "--quick", "--plot", str(tmp_path / "x.png")])
    assert told.exit_code == 2
    assert "lab members has no plot" in told.output


def test_a_policy_that_ticks_goes_forward() -> None:
    policy = make_policy(1, 1, 1)
    out = start_policy(policy)
    tick(policy, out)
    assert policy.now == SECOND + TICK
