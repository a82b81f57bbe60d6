import json

from click.testing import CliRunner

from benchmarks.main import experiment_names, load_experiment, main

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
    result = CliRunner().invoke(main, ["--list"])
    assert result.exit_code == 0
    assert len(result.output.splitlines()) == len(experiment_names())
    assert all(
        callable(load_experiment(name).run) for name in experiment_names()
    )


def test_json_has_both_users_and_both_routers():
    result = CliRunner().invoke(main, ["slow-upstream", "--json"])
    report = json.loads(result.output)
    assert (report["experiment"], report["seed"]) == ("slow-upstream", 1)
    for user in ("nube", "ekundayo"):
        for router in ("baseline", "current"):
            assert set(report["deployments"][user][router]) >= FIGURES


def test_unknown_experiment_is_a_usage_error():
    assert CliRunner().invoke(main, ["no-such"]).exit_code == 2
