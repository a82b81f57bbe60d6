"""Checks that the documentation agrees with the program and its tests."""

import re
import shlex
from pathlib import Path

import pytest
from click.testing import CliRunner

import currantdeal
from currantdeal.cli.main import main
from currantdeal.testing.cluster import Cluster
from currantdeal.testing.shapes import OPERATOR_KEY, ClusterShape, spread

PAGES = Path(currantdeal.__file__).parents[1] / "docs" / "operators"
CODE_BLOCK = re.compile(r"```(\w+)\n(.*?)```", re.S)
LAST_PAGE = "drain.md"


def _code_blocks(page, wanted):
    for language, text in CODE_BLOCK.findall(page.read_text()):
        if language == wanted:
            yield text


def _documented_commands():
    pages = sorted(
        PAGES.glob("*.md"),
        key=lambda page: (page.name == LAST_PAGE, page.name),
    )
    for page in pages:
        for text in _code_blocks(page, "sh"):
            for line in text.splitlines():
                if line.startswith("currantdeal "):
                    yield line


@pytest.fixture
def cluster(tmp_path):
    with Cluster(
        folder=tmp_path, shape=ClusterShape(instances=spread(3))
    ) as new_cluster:
        for name in ("decode-1", "decode-2"):
            new_cluster.add_engine(name, roles=("decode",))
        new_cluster.start()
        new_cluster.wait_ready()
        new_cluster.wait_upstreams()
        yield new_cluster


def test_commands_of_the_operators_pages_work(cluster, tmp_path):
    settings = tmp_path / "settings.json"
    settings.write_text(next(_code_blocks(PAGES / "deploy.md", "json")))
    environment = {
        "CURRANTDEAL_ADDRESS": " ".join(cluster.caller_addresses),
        "CURRANTDEAL_OPERATOR_KEY": OPERATOR_KEY,
    }
    lines = list(_documented_commands())
    assert lines
    for line in lines:
        words = [
            str(settings) if word == settings.name else word
            for word in shlex.split(line)[1:]
        ]
        result = CliRunner().invoke(main, words, env=environment)
        assert result.exit_code == 0, f"{line}\n{result.output}"


def test_every_operators_page_is_linked_from_another():
    texts = [page.read_text() for page in PAGES.parent.rglob("*.md")]
    texts.append((PAGES.parents[1] / "README.md").read_text())
    for page in PAGES.glob("*.md"):
        assert any(f"{page.name})" in text for text in texts), page.name


def _test_names():
    root = PAGES.parents[1]
    for folder in ("currantdeal", "benchmarks"):
        for path in (root / folder).rglob("test_*.py"):
            yield from re.findall(r"def (test_\w+)", path.read_text())
        for path in (root / folder).rglob("*.feature"):
            titles = re.findall(
                r"Scenario(?: Outline)?: (.*)", path.read_text()
            )
            for title in titles:
                yield "test_" + re.sub(r"\W+", "_", title.lower())


def test_every_test_that_proves_a_promise_exists():
    page = (PAGES.parent / "promises.md").read_text()
    named = set(re.findall(r"`(test_\w+)`", page))
    assert named
    assert named - set(_test_names()) == set()


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_shell_completion_is_printed(shell):
    result = CliRunner().invoke(
        main,
        [],
        prog_name="currantdeal",
        env={"_CURRANTDEAL_COMPLETE": f"{shell}_source"},
    )
    assert result.exit_code == 0, result.output
    assert "_CURRANTDEAL_COMPLETE" in result.output
