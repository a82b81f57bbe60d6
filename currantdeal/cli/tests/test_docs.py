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
BLOCK = re.compile(r"```(\w+)\n(.*?)```", re.S)
LAST = "drain.md"


def _commands():
    pages = sorted(
        PAGES.glob("*.md"), key=lambda page: (page.name == LAST, page.name)
    )
    return [
        pytest.param(line, id=f"{page.stem}:{line}")
        for page in pages
        for language, text in BLOCK.findall(page.read_text())
        if language == "sh"
        for line in text.splitlines()
        if line.startswith("currantdeal ")
    ]


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    folder = tmp_path_factory.mktemp("docs")
    with Cluster(
        folder=folder, shape=ClusterShape(instances=spread(3))
    ) as found:
        for name in ("decode-1", "decode-2"):
            found.add_engine(name, roles=("decode",))
        found.start()
        found.wait_ready()
        found.wait_upstreams()
        yield found


@pytest.mark.xdist_group("docs")
@pytest.mark.parametrize("line", _commands())
def test_commands_of_the_operators_pages_work(line, cluster, tmp_path):
    (settings,) = [
        text
        for language, text in BLOCK.findall((PAGES / "deploy.md").read_text())
        if language == "json"
    ]
    (tmp_path / "settings.json").write_text(settings)
    arguments = [
        str(tmp_path / word) if word == "settings.json" else word
        for word in shlex.split(line)[1:]
    ]
    result = CliRunner().invoke(
        main,
        arguments,
        env={
            "CURRANTDEAL_ADDRESS": " ".join(cluster.caller_addresses),
            "CURRANTDEAL_OPERATOR_KEY": OPERATOR_KEY,
        },
    )
    assert result.exit_code == 0, result.output


def test_every_operators_page_is_linked_from_another():
    texts = [page.read_text() for page in PAGES.parent.rglob("*.md")]
    texts.append((PAGES.parents[1] / "README.md").read_text())
    for page in PAGES.glob("*.md"):
        assert any(f"{page.name})" in text for text in texts), page.name
