import json
import os

from currantdeal.node import peers as logs_user
from currantdeal.node.logs import (
    MAX_TEXT_CHARS,
    MAX_WAITING_LINES,
    LineWriter,
)
from currantdeal.testing.node_logs import node_log_lines


class _Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def _pipe():
    reading, writing = os.pipe()
    clock = _Clock()
    return reading, LineWriter(descriptor=writing, clock=clock), clock


def test_stopped_reader_neither_blocks_nor_exhausts_memory():
    """The log collector stops reading while requests continue.

    A process that waited for its reader would stop serving as well.
    """
    reading, writer, clock = _pipe()
    for number in range(20_000):
        clock.now_s = number / 100.0
        writer.write(b"x" * 200 + b"\n")
    assert writer.dropped > 10_000
    held = len(os.read(reading, 1 << 20))
    clock.now_s += 100.0
    writer.write(b"after\n")
    assert held > 0
    writer.flush()
    assert len(writer._waiting) <= MAX_WAITING_LINES + 1


def test_number_of_dropped_lines_is_logged():
    """A failure at peak load logs more lines than the rate limit allows."""
    reading, writer, clock = _pipe()
    for _ in range(2_500):
        writer.write(b"\n")
    dropped = writer.dropped
    assert dropped > 0
    clock.now_s = 10.0
    writer.write(b"later\n")
    lines = os.read(reading, 1 << 20).split(b"\n")
    reports = [json.loads(line) for line in lines if line.startswith(b"{")]
    assert reports == [{"event": "log-lines-dropped", "count": dropped}]


def test_partially_written_line_is_continued():
    reading, writer, _ = _pipe()
    line = b"y" * 150_000 + b"\n"
    writer.write(line)
    got = b""
    while len(got) < len(line):
        got += os.read(reading, 1 << 16)
        writer.flush()
    assert got == line


def test_closed_reader_raises_no_error():
    reading, writer, _ = _pipe()
    os.close(reading)
    writer.write(b"nobody reads\n")
    writer.write(b"nobody reads\n")


def test_exceptions_are_logged_with_their_traceback():
    """Guards against a report of an error that fails itself."""
    with node_log_lines(logs_user) as read_lines:
        try:
            raise KeyError("missing")
        except KeyError:
            logs_user._log.exception("failed", part="a")
        (line,) = read_lines()
    assert (line["event"], line["level"]) == ("failed", "error")
    assert line["part"] == "a"
    assert line["exception"].endswith("KeyError: 'missing'")
    assert "Traceback" in line["exception"]


def test_texts_in_a_line_are_bounded():
    """Guards against log lines as long as what a peer has sent."""
    with node_log_lines(logs_user) as read_lines:
        logs_user._log.warning("refused", why="x" * 1_000_000, count=3)
        (line,) = read_lines()
    assert 0 < len(line["why"]) <= MAX_TEXT_CHARS
    assert line["count"] == 3
