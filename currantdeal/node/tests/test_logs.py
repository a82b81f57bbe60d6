import json
import os

from currantdeal.node.logs import MAX_WAITING_LINES, LineWriter


class _Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def _pipe():
    reading, writing = os.pipe()
    clock = _Clock()
    return reading, LineWriter(descriptor=writing, clock=clock), clock


def test_a_reader_that_stops_neither_blocks_nor_fills_memory():
    """Whoever collects the lines stops reading while requests go on.

    A process that waited for it would stop serving with it.
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


def test_what_was_dropped_is_told():
    """A failure at peak brings more lines than are written in a second."""
    reading, writer, clock = _pipe()
    for _ in range(2_500):
        writer.write(b"\n")
    dropped = writer.dropped
    assert dropped > 0
    clock.now_s = 10.0
    writer.write(b"later\n")
    lines = os.read(reading, 1 << 20).split(b"\n")
    told = [json.loads(line) for line in lines if line.startswith(b"{")]
    assert told == [{"event": "log-lines-dropped", "count": dropped}]


def test_a_line_that_was_cut_goes_on_where_it_stopped():
    reading, writer, _ = _pipe()
    line = b"y" * 150_000 + b"\n"
    writer.write(line)
    got = b""
    while len(got) < len(line):
        got += os.read(reading, 1 << 16)
        writer.flush()
    assert got == line


def test_a_reader_that_is_gone_does_not_end_the_process():
    reading, writer, _ = _pipe()
    os.close(reading)
    writer.write(b"nobody reads\n")
    writer.write(b"nobody reads\n")
