import json

from click.testing import CliRunner

from currantdeal.cli.main import main
from currantdeal.cli.story import MAX_LINES

REQUEST = "6ceed88239312df3"


def _line(at, event, instance="entry-1", **fields):
    return json.dumps(
        {"at": at, "instance": instance, "event": event, **fields}
    )


def _explain(tmp_path, lines, request=REQUEST):
    path = tmp_path / "all.log"
    path.write_text("\n".join(lines) + "\n")
    return CliRunner().invoke(main, ["explain", request, str(path)])


def test_the_story_has_the_request_and_what_its_process_believed(tmp_path):
    ended = _line(
        20.0,
        "request-ended",
        request=REQUEST,
        outcome="broken off: no memory",
        took=4.0,
        steps=["0.113 memory at i-1", "2.738 i-1: no event"],
    )
    found = _explain(
        tmp_path,
        [
            _line(1.0, "config-in-force", version=2),
            _line(14.0, "config-in-force", version=3),
            _line(15.0, "upstream-changed", upstream="i-1", state="draining"),
            _line(15.5, "upstream-changed", upstream="i-2", state="draining"),
            _line(16.0, "config-in-force", instance="entry-2", version=3),
            "not a line of ours",
            "  20.01 entry-1 " + ended,
            _line(30.0, "control-lost", why="silent"),
        ],
    )
    assert found.exit_code == 0
    told = found.output.splitlines()
    assert "version=3" in told[0]
    assert "upstream=i-1 state=draining" in told[1]
    assert "broken off: no memory" in told[2]
    assert told[3].endswith("after 0.113 memory at i-1")
    assert "i-2" not in found.output
    assert "control-lost" not in found.output
    assert "entry-2" not in found.output


def test_an_unknown_request_is_said_so(tmp_path):
    found = _explain(tmp_path, [_line(1.0, "started")])
    assert found.exit_code == 1


def test_a_large_file_needs_bounded_memory(tmp_path):
    """A request was logged thousands of times, as by a loop of retries.

    The story stays short and tells what it leaves out.
    """
    many = [
        _line(n / 100, "request-refused", request=REQUEST, why="no memory")
        for n in range(5_000)
    ]
    found = _explain(tmp_path, many)
    assert len(found.output.splitlines()) == MAX_LINES + 1
    assert "more lines were left out" in found.output
