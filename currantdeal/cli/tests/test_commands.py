"""Runs the operators' commands against one instance and stand-ins."""

import json

import pytest
from click.testing import CliRunner

from currantdeal.cli.errors import ExitCode
from currantdeal.cli.main import main
from currantdeal.testing.caller import CallerClient
from currantdeal.testing.cluster import Cluster
from currantdeal.testing.output import expected_output
from currantdeal.testing.shapes import (
    OPERATOR_KEY,
    STANDALONE_COMMAND,
    ClusterShape,
    spread,
)

PROMPT = "a cake for Saturday tokens=20"


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    shape = ClusterShape(instances=spread(1), command=STANDALONE_COMMAND)
    folder = tmp_path_factory.mktemp("cluster")
    with Cluster(folder=folder, shape=shape) as new_cluster:
        new_cluster.start()
        new_cluster.wait_ready()
        new_cluster.add_engine("p1", roles=("prefill",))
        new_cluster.add_engine("d1", roles=("decode",))
        new_cluster.add_service("shop-1")
        new_cluster.wait_upstreams()
        yield new_cluster


@pytest.fixture
def run(cluster, tmp_path):
    address = cluster.caller_addresses[0]

    def run_command(*arguments, key=OPERATOR_KEY, addresses=(address,)):
        options = [part for one in addresses for part in ("--address", one)]
        return CliRunner().invoke(
            main,
            [*arguments, *options],
            env={"CURRANTDEAL_OPERATOR_KEY": key},
        )

    return run_command


@pytest.fixture
def caller(cluster):
    return CallerClient(address=cluster.caller_addresses[0])


def _read_labels(run, name):
    listed = json.loads(run("upstreams", "list", "--output", "json").stdout)
    return {
        shown["upstream"]["upstream_id"]: shown["labels"]
        for shown in listed["upstreams"]
    }[name]


def test_the_whole_path_serves_a_stream(cluster, caller):
    assert caller.stream(PROMPT).text == expected_output(PROMPT, 20)


def test_labels_are_set_and_removed(run):
    assert run("upstreams", "label", "p1", "tier=gold").exit_code == 0
    assert _read_labels(run, "p1") == {"tier": "gold"}
    assert run("upstreams", "label", "p1", "tier-").exit_code == 0
    assert _read_labels(run, "p1") == {}


def test_a_withdrawn_upstream_gets_no_more_work(run, caller, cluster):
    result = run("upstreams", "withdraw", "shop-1", "--wait", "5")
    assert result.exit_code == 0
    assert "in force everywhere" in result.stdout
    assert caller.order("k1", b"{}").outcome == "not-run"
    assert cluster.stand_in("shop-1").client.runs() == ()
    run("upstreams", "label", "shop-1", "withdrawn-")
    assert caller.order("k2", b"{}").status == 201


def test_change_under_an_old_version_is_a_conflict(run):
    run("selectors", "apply", "gold", "--expression", "tier=gold")
    result = run("selectors", "apply", "gold", "--expected-version", "0")
    assert result.exit_code == ExitCode.CONFLICT
    assert "next:" in result.stderr
    assert run("selectors", "delete", "gold").exit_code == 0


def test_a_resend_under_its_request_id_gets_the_first_answer(run):
    """Guards against a conflict of an operator's change with its own resend.

    The answer to the change gets lost, so the change is sent again.  Without
    request ids the resend would conflict with the first attempt, and the
    operator could not see whose change had come first.
    """
    sent = ("--expected-version", "0", "--request-id", "r1")
    first = run("selectors", "apply", "again", *sent)
    second = run("selectors", "apply", "again", *sent)
    assert first.exit_code == second.exit_code == 0
    assert first.stdout == second.stdout
    run("selectors", "delete", "again")


def test_orders_and_the_audit_trail_are_shown(run):
    issued = run("orders", "issue", "d1", "load", "--model", "bigger")
    assert issued.exit_code == 0
    assert "bigger" in run("orders", "list").stdout
    trail = json.loads(run("audit", "--output", "json").stdout)["records"]
    assert trail[-1]["change"] == "IssueOrder"
    assert trail[-1]["actor"] == "operator"


@pytest.mark.parametrize("command", ["status", "entries", "audit"])
def test_reads_have_tables_and_json(run, command):
    assert run(command).exit_code == 0
    assert json.loads(run(command, "--output", "json").stdout)


def test_next_address_is_used_if_one_is_unreachable(run, cluster):
    unreachable = "127.0.0.1:9"
    address = cluster.caller_addresses[0]
    assert run("status", addresses=(unreachable, address)).exit_code == 0
    result = run("status", addresses=(unreachable,))
    assert result.exit_code == ExitCode.UNREACHABLE
    assert "--address" in result.stderr


def test_wrong_keys_and_unknown_names_are_refused(run):
    result = run("status", key="caller-key-of-the-harness")
    assert result.exit_code == ExitCode.WRONG_KEY
    result = run("upstreams", "withdraw", "nobody")
    assert result.exit_code == ExitCode.REFUSED
    assert run("upstreams", "label", "p1", "bad").exit_code == ExitCode.USAGE


def test_settings_are_checked_and_shown(cluster, tmp_path):
    path = tmp_path / "wrong.json"
    path.write_text('{"timing": {"lease_s": 9}}')
    result = CliRunner().invoke(main, ["settings", "check", str(path)])
    assert result.exit_code == ExitCode.WRONG_SETTINGS
    assert "caller_address" in result.stdout
    assert CliRunner().invoke(main, ["settings", "schema"]).exit_code == 0
