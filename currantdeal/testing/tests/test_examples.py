import pytest

from currantdeal.adapters.settings_check import find_problems
from currantdeal.testing.examples import USERS, write_example
from currantdeal.testing.processes import ROOT

EXAMPLES = ROOT / "examples"


@pytest.mark.parametrize("user", USERS, ids=lambda user: user.name)
def test_committed_examples_are_valid_and_as_generated(user, tmp_path):
    write_example(user, tmp_path)
    committed = EXAMPLES / user.name
    generated = sorted(path.relative_to(tmp_path) for path in _files(tmp_path))
    assert generated == sorted(
        path.relative_to(committed) for path in _files(committed)
    )
    for path in generated:
        assert (tmp_path / path).read_bytes() == (
            committed / path
        ).read_bytes()
    for path in (committed / "instances").iterdir():
        assert find_problems(path.read_bytes()) == ()


def _files(folder):
    return folder.rglob("*.json")
