"""Tests of the command ``account`` on written log lines."""

import json

from click.testing import CliRunner

from currantdeal.cli.main import main


def _end_line(at, *, outcome="answered", steps=(), **fields):
    line = {
        "at": at,
        "instance": "entry-1",
        "event": "request-ended",
        "route": "drafts",
        "outcome": outcome,
        "took": 3.0,
        "first": 0.3,
        "longest_pause": 0.06,
        "target": 0.9,
        "pause_target": 0.3,
        "patience": 14.0,
        "timeout": 14.0,
        "prompt_tokens": 3000,
        "steps": list(steps),
    }
    return json.dumps(line | fields)


IN_TIME_STEPS = ("0.003 memory d1", "0.170 prompt p1", "0.300 stream d1")


def _run_account(tmp_path, lines):
    path = tmp_path / "all.log"
    path.write_text("\n".join(lines) + "\n")
    result = CliRunner().invoke(main, ["account", str(path)])
    assert result.exit_code == 0, result.output
    return result.output


def test_each_loss_is_counted_under_its_first_cause(tmp_path):
    output = _run_account(
        tmp_path,
        [
            _end_line(1.0, steps=IN_TIME_STEPS),
            _end_line(
                1.1,
                outcome="refused: no memory",
                first=None,
                steps=["0.401 silent d2: no answer in 0.40 s"],
            ),
            _end_line(1.2, outcome="refused: no memory", first=None),
            _end_line(
                1.3,
                first=1.2,
                steps=["0.003 memory d1", "0.900 prompt p1", "1.2 stream d1"],
            ),
            _end_line(
                1.4,
                longest_pause=1.8,
                steps=[*IN_TIME_STEPS, "1.500 silent d1: no event"],
            ),
            _end_line(1.5, longest_pause=0.4, steps=IN_TIME_STEPS),
            _end_line(1.6, patience=9.0, steps=IN_TIME_STEPS),
            _end_line(1.7, outcome="refused: no memory", patience=9.0),
            _end_line(
                1.8,
                outcome="refused: no memory",
                first=None,
                steps=["0.003 memory d1", "0.2 prompt p1", "0.2 refused d1"],
            ),
            _end_line(
                1.9,
                outcome="refused: all upstreams are at the limits that they"
                " have named",
                first=None,
            ),
            "not a line of ours",
        ],
    )
    rows = {
        line.split("  ")[1].strip() if "  " in line else line: line
        for line in output.splitlines()
        if line.startswith("generation")
    }
    assert set(rows) == {
        "in time",
        "asked an engine that did not answer",
        "waited for memory",
        "the prompt waited or was slow",
        "the engine broke the stream off or fell silent",
        "pause, another prompt or a crowded engine",
        "had been refused before",
        "refused once more",
        "held back by limits of upstreams",
        "an engine refused after the prompt was read",
    }
    assert all(row.split()[-3] == "1" for row in rows.values())


def test_losses_are_summed_up_by_time_span(tmp_path):
    output = _run_account(
        tmp_path,
        [
            _end_line(10.0, outcome="refused: no memory", first=None),
            _end_line(17.0, outcome="refused: no memory", first=None),
        ],
    )
    spans = output.split("MAIN CAUSES")[1].splitlines()
    assert [line.split()[0] for line in spans if line.strip()] == ["0", "6"]


def test_calls_and_generations_have_separate_rows(tmp_path):
    output = _run_account(
        tmp_path,
        [
            _end_line(
                1.0,
                prompt_tokens=0,
                pause_target=0.0,
                outcome="failed: an upstream may have run it",
                first=None,
                steps=["0.2 lost u1: connection lost: reset"],
            )
        ],
    )
    assert "call  the upstream was lost or silent" in output
