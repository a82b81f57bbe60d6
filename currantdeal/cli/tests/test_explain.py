"""Tests of the command ``explain`` on written log lines."""

import json

from click.testing import CliRunner

from currantdeal.cli.main import main
from currantdeal.cli.request_history import MAX_LINES

REQUEST = "6ceed88239312df3"


def _log_line(at, event, instance="entry-1", **fields):
    return json.dumps(
        {"at": at, "instance": instance, "event": event, **fields}
    )


def _run_explain(tmp_path, lines, request=REQUEST):
    path = tmp_path / "all.log"
    path.write_text("\n".join(lines) + "\n")
    return CliRunner().invoke(main, ["explain", request, str(path)])


def test_output_has_the_request_and_the_view_of_its_process(tmp_path):
    ended = _log_line(
        20.0,
        "request-ended",
        request=REQUEST,
        outcome="broken off: no memory",
        took=4.0,
        steps=["0.113 memory at i-1", "2.738 i-1: no event"],
    )
    result = _run_explain(
        tmp_path,
        [
            _log_line(1.0, "config-in-force", version=2),
            _log_line(14.0, "config-in-force", version=3),
            _log_line(14.5, "upstream-limit-named", upstream="i-3"),
            _log_line(
                15.0, "upstream-changed", upstream="i-1", state="draining"
            ),
            _log_line(
                15.5, "upstream-changed", upstream="i-2", state="draining"
            ),
            _log_line(16.0, "config-in-force", instance="entry-2", version=3),
            "not a line of ours",
            "  20.01 entry-1 " + ended,
            _log_line(30.0, "control-lost", why="silent"),
        ],
    )
    assert result.exit_code == 0
    output_lines = result.output.splitlines()
    assert "version=3" in output_lines[0]
    assert "upstream-limit-named: upstream=i-3" in output_lines[1]
    assert "upstream=i-1 state=draining" in output_lines[2]
    assert "broken off: no memory" in output_lines[3]
    assert output_lines[4].endswith("after 0.113 memory at i-1")
    assert "i-2" not in result.output
    assert "control-lost" not in result.output
    assert "entry-2" not in result.output


def test_unknown_request_exits_with_an_error(tmp_path):
    result = _run_explain(tmp_path, [_log_line(1.0, "started")])
    assert result.exit_code == 1


def test_a_large_file_needs_bounded_memory(tmp_path):
    """Guards against memory use and output that grow with a log file.

    A loop of retries logs one request thousands of times; the output is
    bounded and has the number of omitted lines.
    """
    lines = [
        _log_line(n / 100, "request-refused", request=REQUEST, why="no memory")
        for n in range(5_000)
    ]
    result = _run_explain(tmp_path, lines)
    assert len(result.output.splitlines()) == MAX_LINES + 1
    assert "more lines were left out" in result.output
