"""Measures the cost of many slow streams for one instance.

One instance on local ports serves concurrent streams with an output every
37 ms, which is the target between outputs.  The instance's processor time per
chunk, its memory, and the delay of chunks at the caller are measured.

Run ``python -m benchmarks.stream_cost --help`` for its options.
"""

import json
import selectors
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import click
import psutil
import urllib3

MODEL = "m"
EVENT = b'"text":"abc123 "'
SETTLE_S = 1.5


@dataclass(frozen=True, kw_only=True)
class StreamCost:
    """Result for one number of streams.

    Parameters
    ----------
    us_per_chunk : float
        Processor time of the instance per chunk, in microseconds.
    chunks_per_core_s : float
        Chunks a second that one core can process at this cost.
    gap_p95_ms : float
        95th percentile of the time between chunks at the caller.
    rss_mb : float
        Resident memory of the instance.
    """

    streams: int
    chunks: int
    wall_s: float
    cpu_share: float
    us_per_chunk: float
    chunks_per_core_s: float
    gap_p50_ms: float
    gap_p95_ms: float
    gap_p99_ms: float
    rss_mb: float
    idle_rss_mb: float


class Reader:
    """Reads several streams in one thread and records when chunks arrive."""

    def __init__(self, *, address, streams, tokens):
        """Open the connections and send the requests."""
        self._selector = selectors.DefaultSelector()
        self._last_s = {}
        self.gaps_s = []
        self.chunks = 0
        host, _, port = address.rpartition(":")
        body = json.dumps(
            {
                "model": MODEL,
                "prompt": "x",
                "max_tokens": tokens,
                "stream": True,
            }
        ).encode()
        for _ in range(streams):
            sock = socket.create_connection((host, int(port)))
            head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            head += f"X-Deadline-Ms: 60000\r\nContent-Length: {len(body)}"
            sock.sendall(head.encode() + b"\r\n\r\n" + body)
            self._selector.register(sock, selectors.EVENT_READ)

    def read(self, *, until_s):
        """Read until a time, or until every stream has ended."""
        while self._selector.get_map() and time.monotonic() < until_s:
            for key, _ in self._selector.select(timeout=0.1):
                self._receive(key.fileobj)

    def close(self):
        """Close all connections."""
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()
        self._selector.close()

    def _receive(self, sock):
        data = sock.recv(65_536)
        if not data:
            self._selector.unregister(sock)
            sock.close()
            return
        new_chunks = data.count(EVENT)
        if not new_chunks:
            return
        now_s = time.monotonic()
        self.chunks += new_chunks
        if sock in self._last_s:
            self.gaps_s.append(now_s - self._last_s[sock])
        self._last_s[sock] = now_s


class Testbed:
    """The processes of the instance and of its chunk source."""

    def __init__(self, *, folder, threads, gap_ms):
        """Start both and announce the source to the instance."""
        self._source = _start("benchmarks.chunk_source", f"--gap-ms={gap_ms}")
        source = json.loads(self._source.stdout.readline())["address"]
        self.address = f"127.0.0.1:{_free_port()}"
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps(_settings(self.address, threads)))
        self._instance = _start(
            "currantdeal.cli.tests.local_daemon", str(path)
        )
        self.process = psutil.Process(self._instance.pid)
        self._announce(source)

    def close(self):
        """Kill both processes."""
        for child in (self._instance, self._source):
            child.kill()
            child.wait()

    def _announce(self, source):
        pool = urllib3.PoolManager(retries=False)
        upstream = {
            "upstream_id": "e1",
            "incarnation": 1,
            "address": source,
            "kind": "engine",
            "roles": ["prefill", "decode"],
            "targets": [MODEL],
            "region": "r1",
            "data_center": "r1-1",
            "pieces_total": 10_000_000,
        }
        for _ in range(200):
            try:
                url = f"http://{self.address}/upstreams/announce"
                answer = pool.request("POST", url, json=upstream)
            except urllib3.exceptions.HTTPError:
                time.sleep(0.05)
            else:
                assert answer.status == 200, answer.data
                return
        raise RuntimeError(
            f"the instance at {self.address} did not accept the announcement"
        )


def measure(*, streams, seconds, gap_ms, threads):
    """Return the ``StreamCost`` for a number of streams."""
    tokens = int((seconds + 30) * 1000 / gap_ms)
    with tempfile.TemporaryDirectory() as folder:
        testbed = Testbed(folder=folder, threads=threads, gap_ms=gap_ms)
        try:
            idle_mb = testbed.process.memory_info().rss / 1e6
            reader = Reader(
                address=testbed.address, streams=streams, tokens=tokens
            )
            reader.read(until_s=time.monotonic() + SETTLE_S + streams / 100)
            return _measure(testbed, reader, streams, seconds, idle_mb)
        finally:
            testbed.close()


def _measure(testbed, reader, streams, seconds, idle_mb):
    before = testbed.process.cpu_times()
    chunks, gaps = reader.chunks, len(reader.gaps_s)
    started_s = time.monotonic()
    reader.read(until_s=started_s + seconds)
    wall_s = time.monotonic() - started_s
    after = testbed.process.cpu_times()
    cpu_s = after.user + after.system - before.user - before.system
    rss_mb = testbed.process.memory_info().rss / 1e6
    reader.close()
    chunks = reader.chunks - chunks
    sorted_gaps = sorted(reader.gaps_s[gaps:])
    return StreamCost(
        streams=streams,
        chunks=chunks,
        wall_s=round(wall_s, 2),
        cpu_share=round(cpu_s / wall_s, 3),
        us_per_chunk=round(cpu_s / chunks * 1e6, 1),
        chunks_per_core_s=round(chunks / cpu_s),
        gap_p50_ms=_quantile_ms(sorted_gaps, 0.50),
        gap_p95_ms=_quantile_ms(sorted_gaps, 0.95),
        gap_p99_ms=_quantile_ms(sorted_gaps, 0.99),
        rss_mb=round(rss_mb, 1),
        idle_rss_mb=round(idle_mb, 1),
    )


def _quantile_ms(ordered, share):
    return round(ordered[int(share * (len(ordered) - 1))] * 1000, 1)


def _start(module, *arguments):
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )


def _free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def _settings(address, threads):
    return {
        "instance": "i1",
        "region": "r1",
        "data_center": "r1-1",
        "caller_address": address,
        "peer_address": "127.0.0.1:0",
        "threads": threads,
    }


@click.command()
@click.option("--streams", multiple=True, type=int, default=(16, 64, 128, 256))
@click.option("--seconds", default=8.0, show_default=True)
@click.option("--gap-ms", default=37.0, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def main(streams, seconds, gap_ms, as_json):
    """Measure the cost of several numbers of streams."""
    results = []
    for count in streams:
        click.echo(f"{count} streams ...", err=True)
        cost = measure(
            streams=count,
            seconds=seconds,
            gap_ms=gap_ms,
            threads=count + count // 4 + 16,
        )
        results.append(asdict(cost))
        if not as_json:
            click.echo(json.dumps(results[-1]))
    if as_json:
        click.echo(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
