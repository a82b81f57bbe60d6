import json

from click.testing import CliRunner

from benchmarks.main import load, main, names

FIGURES = {
    "goodput",
    "wasted_prefill",
    "ttft_p95_s",
    "itl_p95_ms",
    "refused",
    "late",
    "violations",
}


def test_every_experiment_is_listed_with_a_summary():
    found = CliRunner().invoke(main, ["--list"])
    assert found.exit_code == 0
    assert len(found.output.splitlines()) == len(names())
    assert all(callable(load(name).run) for name in names())


def test_json_has_both_users_and_both_routers():
    found = CliRunner().invoke(main, ["slow-upstream", "--json"])
    report = json.loads(found.output)
    assert (report["experiment"], report["seed"]) == ("slow-upstream", 1)
    for user in ("nube", "ekundayo"):
        for router in ("baseline", "current"):
            assert set(report["deployments"][user][router]) >= FIGURES


def test_unknown_experiment_is_a_usage_error():
    assert CliRunner().invoke(main, ["no-such"]).exit_code == 2
