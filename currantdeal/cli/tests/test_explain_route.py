"""The command against an entry process, and what it prints."""

import time

from click.testing import CliRunner

from currantdeal.cli.explain_route import _print
from currantdeal.cli.main import main
from currantdeal.entry.explanation import Candidate, Explanation, PoolAnswer
from currantdeal.testing.node_processes import START_TIMEOUT_S, NodeCluster


def _ask(cluster):
    address = cluster.entries[0].settings["listen"]["metrics"]
    return CliRunner().invoke(
        main, ["explain-route", address, "cakes.example", "/menu/1"]
    )


def test_entry_without_configuration_says_that_it_refuses(tmp_path):
    """Guards against a command that needs a deployment in good health.

    No control process runs, so the entry knows nothing.
    """
    with NodeCluster(folder=tmp_path, control=0, entries=1) as cluster:
        end_s = time.monotonic() + START_TIMEOUT_S
        while (found := _ask(cluster)).exit_code == 1:
            assert time.monotonic() < end_s, found.output
            time.sleep(0.1)
        assert found.exit_code == 3
        assert "no configuration yet" in found.output
        url = cluster.metrics_url(cluster.entries[0])
        page = url.replace("/metrics", "/explain-route")
        assert cluster.call("POST", page, b"{")[0] == 400
        assert cluster.call("GET", url)[0] == 200


def test_unreachable_entry_is_told(tmp_path):
    cluster = NodeCluster(folder=tmp_path, control=0, entries=1)
    assert _ask(cluster).exit_code == 1


def test_candidates_are_printed_in_the_order_of_the_choice(capsys):
    candidates = [
        Candidate(
            upstream=name, data_center="a", cost_s=cost_s, distance_s=0.0
        )
        for name, cost_s in (("p1", 0.1), ("p2", 0.2))
    ]
    pool = PoolAnswer(
        service="model",
        pool="prefill",
        candidates=candidates,
        omitted=3,
        decision="p1 in a",
        would_change=["p2 in a, if it were 0.100 s cheaper"],
    )
    _print(
        Explanation(
            version=7,
            view_age_s=0.2,
            data_center="a",
            route="note",
            pools=[pool],
        )
    )
    text = capsys.readouterr().out
    assert text.index("p1 ") < text.index("p2 ") < text.index("3 more")
    assert "would change: p2 in a" in text
