"""Fits, budgets and the page of `lab scale`, and operation counts that must not grow."""

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
from thistleline.lab.scale.settings_costs import FleetRollout, steps_of_observation
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


def fit_row(values: list[float], sizes: tuple[int, ...] = SIZES, at: int = 10_000) -> Row:
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
def test_known_cost_gets_its_shape_and_is_extrapolated(
    cost: Any, shape: str, slope: float, base: float, at_size: float
) -> None:
    found = fit_row([cost(n) for n in SIZES])
    assert found["shape"] == shape
    assert found["slope"] == pytest.approx(slope, abs=1e-6)
    assert found["base"] == pytest.approx(base, abs=1e-6)
    assert found["at_size"] == pytest.approx(at_size)
    assert found["residual"] < 1e-6
    assert not found["inside"]


def test_cost_between_the_shapes_is_a_power_law() -> None:
    found = fit_row([float(n) ** 1.5 for n in SIZES])
    assert found["shape"] == "other"
    assert found["exponent"] == pytest.approx(1.5)
    assert found["at_size"] == pytest.approx(10_000**1.5)


def test_n_log_n_is_recognized() -> None:
    import numpy as np

    assert fit_row([float(n * np.log2(n)) for n in SIZES])["shape"] == "n log n"


@settings(max_examples=60, deadline=None)
@given(
    slope=st.floats(0.1, 1e4),
    exponent=st.sampled_from([1, 2]),
    noise=st.lists(st.floats(-0.05, 0.05), min_size=4, max_size=4),
)
def test_noise_of_five_percent_does_not_change_the_shape(
    slope: float, exponent: int, noise: list[float]
) -> None:
    found = fit_row([slope * n**exponent * (1 + off) for n, off in zip(SIZES, noise, strict=True)])
    assert found["shape"] != ("square" if exponent == 1 else "linear")
    assert found["shape"] != "flat"
    assert found["exponent"] == pytest.approx(exponent, abs=0.1)


@pytest.mark.parametrize("sizes", [(10, 30, 100), (10, 20, 30, 90)])
def test_too_few_sizes_or_too_small_a_spread_is_refused(sizes: tuple[int, ...]) -> None:
    with pytest.raises(ValueError, match="four sizes"):
        fit_row([1.0 for _ in sizes], sizes)


def test_size_between_the_measured_ones_is_inside() -> None:
    assert fit_row([1.0, 3.0, 10.0, 30.0], at=200)["inside"]
    assert not fit_row([1.0, 3.0, 10.0, 30.0], at=5)["inside"]


def test_steps_are_repeatable_and_the_previous_tracer_is_restored() -> None:
    import sys

    def work() -> int:
        return sum(one for one in range(50))

    before = sys.gettrace()
    assert steps_of(work) == steps_of(work) > 50
    assert sys.gettrace() is before


def test_memory_is_the_bytes_held_and_their_peak() -> None:
    held, most = memory_of(lambda: bytes(len(bytes(300_000)) // 3))
    assert 100_000 <= held < 110_000
    assert most >= 300_000


def test_time_is_compared_with_reference_loops_around_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """The number of loops stays the same on a machine that slows down to half its speed between two runs."""
    clock = iter([0.0, 1.0, 0.0, 10.0, 0.0, 1.0, 0.0, 2.0, 0.0, 20.0, 0.0, 2.0])
    monkeypatch.setattr(slopes, "process_time", lambda: next(clock))
    monkeypatch.setattr(slopes, "loop_cpu", lambda: slopes.cpu_of(lambda: None, 1))
    assert slopes.loops_of(lambda: None, 1) == (10.0, 10.0)
    assert slopes.loops_of(lambda: None, 1) == (10.0, 20.0)


@pytest.mark.parametrize(
    ("value", "text"),
    [(0, "0"), (1024, "1,024"), (1000.6, "1,000"), (67_108_864, "67,100,000"), (0.02349, "0.0235")],
)
def test_numbers_have_three_significant_digits(value: float, text: str) -> None:
    assert slopes.number(value) == text


# ---- operation counts: they fail where a cost grows faster than promised


def assert_grows_within(name: str, promised: Any, sizes: tuple[int, ...], values: list[int], at: str) -> None:
    found = row(name, "count", "steps", "one", sizes, values, size(at))
    by_size = dict(zip(sizes, values, strict=True))
    assert grows_within(found, promised), f"{name} is promised {promised}: {by_size}"


def test_task_cost_does_not_depend_on_tenants() -> None:
    assert_grows_within(
        "a task", "flat", SIZES, [steps_of_task(make_policy(3, n, 1)) for n in SIZES], "tenants"
    )


def test_task_cost_does_not_depend_on_stages() -> None:
    assert_grows_within(
        "a task", "flat", SIZES, [steps_of_task(make_policy(n, 3, 1)) for n in SIZES], "routes"
    )


@pytest.mark.parametrize(("per", "at"), [("tenant", "tenants"), ("stage", "routes")])
def test_cost_of_a_tick_without_quota_update_does_not_depend_on_sizes(per: str, at: str) -> None:
    values = []
    for n in SIZES:
        policy = make_policy(3, n, 1) if per == "tenant" else make_policy(n, 3, 1)
        out = start_policy(policy)
        values.append(steps_of(lambda policy=policy, out=out: tick(policy, out)))  # type: ignore[misc]
    assert_grows_within("a tick", "flat", SIZES, values, at)


@pytest.mark.parametrize(("per", "at"), [("tenant", "tenants"), ("stage", "routes")])
def test_cost_of_a_steering_tick_is_at_most_linear(per: str, at: str) -> None:
    values = []
    for n in SIZES:
        policy = make_policy(3, n, 1) if per == "tenant" else make_policy(n, 3, 1)
        out = start_policy(policy)
        for _ in range(WINDOW - 1):
            tick(policy, out)
        values.append(steps_of(lambda policy=policy, out=out: tick(policy, out)))  # type: ignore[misc]
    assert_grows_within("a steering tick", "linear", SIZES, values, at)


def test_quotas_are_updated_once_a_window() -> None:
    assert count_quota_updates(10 * WINDOW) == 10


def test_cost_of_a_quota_update_is_at_most_linear() -> None:
    values = [steps_of(quota_update(make_policy(3, n, 1))) for n in SIZES]
    assert_grows_within("_weigh_owners", "linear", SIZES, values, "tenants")


@pytest.mark.parametrize(("per", "at", "promised"), SQUARE_BY_STAGE)
def test_start_grows_no_faster_than_promised(per: str, at: str, promised: str) -> None:
    benches = [make_settings(3, n, 1) if per == "tenant" else make_settings(n, 3, 1) for n in SIZES]
    values = [steps_of(lambda bench=bench: Policy(bench, 1, SECOND)) for bench in benches]  # type: ignore[misc]
    assert_grows_within("a start", promised, SIZES, values, at)


@pytest.mark.parametrize(("per", "at"), [("tenant", "tenants"), ("stage", "routes")])
def test_check_of_settings_is_at_most_linear(per: str, at: str) -> None:
    sizes = (10, 30, 60, 120)
    texts = [text_of(3, n, 1) if per == "tenant" else text_of(n, 3, 1) for n in sizes]
    assert [unfit_settings(text) for text in texts] == [""] * len(sizes)
    values = [steps_of(lambda text=text: unfit_settings(text)) for text in texts]  # type: ignore[misc]
    assert_grows_within("unfit_settings", "linear", sizes, values, at)


@pytest.mark.parametrize(("per", "at"), [("tenant", "tenants"), ("stage", "routes")])
def test_reading_of_settings_is_at_most_linear(per: str, at: str) -> None:
    documents = [json.loads(text_of(3, n, 1) if per == "tenant" else text_of(n, 3, 1)) for n in SIZES]
    values = [steps_of(lambda document=document: read_server_settings(document)) for document in documents]  # type: ignore[misc]
    assert_grows_within("read_server_settings", "linear", SIZES, values, at)


def test_change_takes_a_linear_number_of_observations_and_desired_versions() -> None:
    fleets = (15, 30, 60, 150)
    rollouts = [FleetRollout(n).run() for n in fleets]
    assert all(rollout.settings == [2] * n for rollout, n in zip(rollouts, fleets, strict=True))
    assert_grows_within(
        "looks", "linear", fleets, [rollout.observations for rollout in rollouts], "instances"
    )
    assert_grows_within(
        "wants", "linear", fleets, [rollout.version_writes for rollout in rollouts], "instances"
    )


def test_observation_of_an_idle_fleet_is_at_most_linear() -> None:
    fleets = (15, 30, 60, 150)
    assert_grows_within("a look", "linear", fleets, [steps_of_observation(n) for n in fleets], "instances")


# ---- costs that must fail the check


def scanning_policy(settings: ServerSettings) -> Policy:
    """Return a policy that scans all tenants for each task."""
    policy = Policy(settings, 1, SECOND)
    bucket_of = policy.state.shedder.bucket_of

    def slow_bucket_of(task: Any) -> int:
        return bucket_of(task) + 0 * sum(1 for tenant in settings.tenants if tenant.quota < 0)

    policy.state.shedder.bucket_of = slow_bucket_of  # type: ignore[method-assign]
    return policy


def test_task_that_scans_all_tenants_is_linear_and_fails() -> None:
    values = [steps_of_task(scanning_policy(make_settings(3, n, 1))) for n in SIZES]
    found = row("a task", "count", "steps", "tenant", SIZES, values, size("tenants"))
    assert found["shape"] == "linear"
    assert not grows_within(found, "flat")
    assert judge([found], {"a task": "flat"}) == {"a task: flat": False}
    with pytest.raises(AssertionError, match="promised flat"):
        assert_grows_within("a task", "flat", SIZES, values, "tenants")


def test_line_over_a_large_base_is_not_flat() -> None:
    found = fit_row([1000 + 0.1 * n for n in SIZES], at=1_300_000)
    assert found["exponent"] < 0.15
    assert not grows_within(found, "flat")


def test_read_that_compares_all_pairs_is_square() -> None:
    def read(bench: ServerSettings) -> int:
        return sum(one.name == other.name for one in bench.stages for other in bench.stages)

    benches = [make_settings(n, 3, 1) for n in SIZES]
    values = [steps_of(lambda bench=bench: read(bench)) for bench in benches]  # type: ignore[misc]
    found = row("read", "count", "steps", "stage", SIZES, values, size("routes"))
    assert found["shape"] == "square"
    assert not grows_within(found, "linear")
    assert grows_within(found, "square")


def test_cube_is_not_within_a_square() -> None:
    assert not grows_within(fit_row([float(n) ** 3 for n in SIZES]), "square")


# ---- budgets


def make_measurements(**figures: Any) -> Measurements:
    found = fit_row([2.0 * n for n in SIZES], at=1000)
    timed = Row(**{**found, "name": "t", "kind": "time", "unit": "loops"})
    return Measurements({"limit": 3000, "other": 4}, {"p": [found, timed]}, {"p": {"loop_s": 0.5, **figures}})


def budget_line(limit: float, *parts: list[Any]) -> Any:
    budget = {"name": "b", "unit": "bytes", "limit": [limit], "carried_by": "it",
            "part": [{"what": f"w{index}", "is": terms} for index, terms in enumerate(parts)]}  # fmt: skip
    return budget_lines([budget], make_measurements())[0]


@pytest.mark.parametrize(
    ("limit", "parts", "verdict"),
    [
        (2001, (["row p/x"],), "held"),
        (1999, (["row p/x"],), "missed"),
        (2001, (["row p/x"], []), "not measured"),
        (2001, (["row p/x"], ["row p/who"]), "not measured"),
        (1999, (["row p/x"], []), "missed"),  # the measured items alone exceed the limit
        (2001, (), "not measured"),
        (999, (["row p/t"],), "missed"),  # a thousand seconds: 2,000 loops of half a second
        (1001, (["row p/t"],), "held"),
    ],
)
def test_budget_is_held_missed_or_not_measured(limit: float, parts: Any, verdict: str) -> None:
    assert budget_line(limit, *parts).verdict == verdict


def test_terms_are_evaluated_and_multiplied() -> None:
    measurements = make_measurements(f=6)
    assert measurements.product(["figure p/f", "per size other", 2]) == 3.0
    assert measurements.product(["code thistleline.policy.WINDOW"]) == WINDOW
    assert measurements.product(["slope p/x"]) == pytest.approx(2.0)
    assert measurements.product(["slope p/t"]) == pytest.approx(1.0)  # in seconds
    assert measurements.product(["figure p/none"]) is None
    with pytest.raises(NotMeasuredError):
        measurements.value("row p/none")
    with pytest.raises(ValueError, match="is not a term"):
        measurements.value("speed of light")
    assert measurements.is_extrapolated(["row p/x"])


def test_nested_figure_is_found_by_its_path() -> None:
    measurements = Measurements({}, {}, {"feed": {"cases": {"calm": {"last_ms": 400}}, "a/b": 3}})
    assert measurements.value("figure feed/cases/calm/last_ms") == 400
    assert measurements.value("figure feed/a/b") == 3
    for missing in ("feed/cases/calm", "feed/cases/calm/last_ms/more", "feed/cases/storm/last_ms", "none/x"):
        with pytest.raises(NotMeasuredError):
            measurements.value(f"figure {missing}")


def test_candidates_are_ranked_by_ratio_with_unmeasured_ones_last() -> None:
    def candidate(name: str, need: list[Any], carries: list[Any]) -> dict[str, Any]:
        return {"name": name, "unit": "u", "need": need, "carries": carries, "carried_by": "x", "bound": "y"}

    found = rank_candidates(
        [candidate("a", [4], [2]), candidate("b", [], [2]), candidate("c", [90], [9])], make_measurements()
    )
    assert [(one.name, one.ratio) for one in found] == [("c", 10.0), ("a", 2.0), ("b", None)]


def bound_names(plan: dict[str, Any]) -> Iterator[str]:
    for one in (*plan["budget"], *plan["candidate"]):
        if "bound" in one:
            yield one["bound"]


@pytest.mark.parametrize("name", sorted(set(bound_names(read_plan()))))
def test_bounds_of_the_plan_exist_in_the_code(name: str) -> None:
    parts = name.split(".")
    for split in range(len(parts) - 1, 0, -1):
        try:
            found: Any = import_module(".".join(parts[:split]))
        except ModuleNotFoundError:
            continue
        for part in parts[split:]:
            found = getattr(found, part)
        return
    pytest.fail(f"there is no {name}")


# ---- the page


def make_run(**changes: Any) -> dict[str, Any]:
    rows = [fit_row([2.0 * n for n in SIZES])]
    return {"rows": {"p": rows}, "figures": {"p": {"loop_s": 0.5}}, "bars": {"p: x: linear": True}, "seed": 1,
            "quick": False, **changes}  # fmt: skip


PLAN: dict[str, Any] = {"size": {}, "budget": [], "candidate": []}
TEXT = "# Words\n\n<!-- table p -->\nold\n<!-- end -->\nmore words\n\n<!-- table runs -->\n<!-- end -->\n"


def test_tables_are_filled_and_the_text_between_stays() -> None:
    filled = fill_tables(TEXT, tables(Runs({"one.json": make_run()}), PLAN))
    assert "old" not in filled
    assert "| x | 10, 30, 100, 300 | 1 | 2 steps a thing | linear, n^1.00 | 0.0% |" in filled
    assert "| 20,000 steps at 10,000 | beyond 300 |" in filled
    assert filled.startswith("# Words\n")
    assert "\nmore words\n" in filled
    assert "| one.json | p | 1 | long | 1 of 1 |" in filled
    assert fill_tables(filled, tables(Runs({"one.json": make_run()}), PLAN)) == filled


def test_nested_figure_gets_a_table_of_its_own() -> None:
    tables_by_name = figure_tables("p", {
        "cases": {"calm": {"last_ms": 1200, "held": True}, "storm": {"last_ms": 2.5}, "refused": 0},
        "bounds": {"bytes_a_word": 98_765}, "day: words_a_second": 1.25, "loop_s": 0.1, "none": {},
    })  # fmt: skip
    assert set(tables_by_name) == {"p/cases", "p/cases/calm", "p/cases/storm", "p/bounds", "p/day"}
    assert tables_by_name["p/cases"].splitlines()[2:] == ["| calm | 1,200 | True |", "| storm | 2.5 |  |"]
    assert "| bytes a word | 98,765 |" in tables_by_name["p/bounds"]
    assert "| words a second | 1.25 |" in tables_by_name["p/day"]


def test_check_reports_a_figure_edited_by_hand(tmp_path: Path) -> None:
    (tmp_path / "one.json").write_text(json.dumps(make_run()))
    page = tmp_path / "PAGE.md"
    page.write_text(TEXT)
    arguments = ["--page", str(page), "--runs", str(tmp_path)]
    assert CliRunner().invoke(page_command, arguments).exit_code == 0
    assert CliRunner().invoke(page_command, [*arguments, "--check"]).exit_code == 0
    page.write_text(page.read_text().replace("2 steps a thing", "1 steps a thing"))
    result = CliRunner().invoke(page_command, [*arguments, "--check"])
    assert result.exit_code == 1
    assert "-| x |" in result.output
    assert "1 steps a thing" in page.read_text()  # a check writes nothing


def test_changed_run_is_reported_as_drift() -> None:
    before = fill_tables(TEXT, tables(Runs({"one.json": make_run()}), PLAN))
    after = make_run(rows={"p": [fit_row([3.0 * n for n in SIZES])]})
    assert drift(before, fill_tables(before, tables(Runs({"one.json": after}), PLAN)))


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("<!-- table q -->\n<!-- end -->\n", "no run has"),
        ("<!-- table p -->\n<!-- table p -->\n<!-- end -->\n", "does not end"),
        ("<!-- table p -->\n", "does not end"),
        ("<!-- end -->\n", "an end marker without"),
    ],
)
def test_page_with_malformed_tables_is_refused_with_the_reason(text: str, why: str) -> None:
    with pytest.raises(PageError, match=why):
        fill_tables(text, tables(Runs({"one.json": make_run()}), PLAN))


def test_two_runs_of_one_part_and_files_without_a_run_are_refused(tmp_path: Path) -> None:
    with pytest.raises(PageError, match="already"):
        Runs({"one.json": make_run(), "two.json": make_run()})
    (tmp_path / "one.json").write_text("[1]")
    with pytest.raises(PageError, match="is not a run"):
        read_runs(tmp_path)


def test_capacity_page_matches_the_runs() -> None:
    page = PAGE.read_text(encoding="utf-8")
    assert re.search("<!-- table ", page)
    assert drift(page, fill_tables(page, tables(read_runs(FOLDER), read_plan()))) == []


def test_steps_do_not_depend_on_pending_garbage() -> None:
    class CyclicGarbage:
        def __init__(self) -> None:
            self.self = self

        def __del__(self) -> None:
            sum(range(3))

    def call() -> list[list[int]]:
        return [[] for _ in range(5_000)]

    alone = slopes.steps_of(call)
    for _ in range(50):
        CyclicGarbage()
    assert slopes.steps_of(call) == alone
    assert gc.isenabled()


def test_parts_measured_concurrently_give_the_same_counts() -> None:
    """A quick run measures parts in processes of their own; the results come in the order of the parts."""
    import thistleline.lab.scale as scale

    parts = ("council", "tenants")
    concurrent, lines = list(scale._measure_parts(parts, True, 1, lambda line: None)), list[str]()
    sequential = [next(scale._measure_parts((part,), True, 1, lines.append)) for part in parts]
    assert [one["bars"] for one in concurrent] == [one["bars"] for one in sequential]
    counts = [
        [(row["name"], row["values"]) for one in results for row in one["rows"] if row["kind"] == "count"]
        for results in (concurrent, sequential)
    ]
    assert counts[0] == counts[1]
    assert lines


# ---- the command


def test_each_listed_part_has_a_unique_name_and_a_measure_function() -> None:
    parts = [import_module(f"thistleline.lab.scale.{name}") for name in PARTS]
    assert len({part.NAME for part in parts}) == len(parts)
    assert all(callable(part.measure) for part in parts)


def test_command_prints_one_result_line_and_exits_by_its_bars(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    import thistleline.lab.scale as scale

    def measure_with(values: list[float]) -> Any:
        def measure(quick: bool, seed: int, tell: Any) -> Part:
            rows = [fit_row(values)]
            figures = {"loop_s": 0.5, "by size": {10: 1}}
            return Part(rows=rows, figures=figures, bars=judge(rows, {"x": "flat"}))

        return measure

    part = import_module("thistleline.lab.scale.tenants")
    monkeypatch.setattr(scale, "PARTS", ("tenants",))
    for values, code in (([5.0] * 4, 0), ([float(n) for n in SIZES], 1)):
        monkeypatch.setattr(part, "measure", measure_with(values))
        json_file, plot_file = tmp_path / "run.json", tmp_path / "run.png"
        arguments = ["lab", "scale", "--quick", "--json", str(json_file), "--plot", str(plot_file)]
        result = CliRunner().invoke(entry, arguments)
        assert result.exit_code == code, result.output
        last = json.loads(result.stdout.splitlines()[-1])
        assert last == json.loads(json_file.read_text())
        assert last["held"] == (code == 0)
        assert last["rows"]["policy"][0]["sizes"] == list(SIZES)
        assert "not measured" in last["figures"]["budget"]["an instance: memory"]
        assert last["figures"]["budget"]["machines for control"].startswith("held: 27 of 28")  # by settings
        assert plot_file.read_bytes().startswith(b"\x89PNG")


def test_budget_of_a_quick_run_ignores_times() -> None:
    timed = Row(**{**fit_row([2.0 * n for n in SIZES]), "name": "t", "kind": "time", "unit": "loops"})
    rows = without_times({"p": [fit_row([2.0 * n for n in SIZES]), timed]})
    assert [one["name"] for one in rows["p"]] == ["x"]


@pytest.mark.parametrize(("lab", "part"), [("scale", "nonsense"), ("zones", "members")])
def test_unknown_part_is_refused(lab: str, part: str) -> None:
    result = CliRunner().invoke(entry, ["lab", lab, "--quick", "--part", part])
    assert (result.exit_code, f"has no part {part}" in result.output) == (2, True)


def test_plot_is_refused_by_a_lab_without_one(tmp_path: Path) -> None:
    result = CliRunner().invoke(entry, ["lab", "members", "--quick", "--plot", str(tmp_path / "x.png")])
    assert result.exit_code == 2
    assert "lab members has no plot" in result.output


def test_tick_advances_the_policy_clock() -> None:
    policy = make_policy(1, 1, 1)
    out = start_policy(policy)
    tick(policy, out)
    assert policy.now == SECOND + TICK
