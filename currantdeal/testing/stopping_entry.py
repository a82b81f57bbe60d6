"""An entry process that is stopped while its callers' requests go on."""

import asyncio
import signal
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass

from currantdeal.testing.entry_world import read_to_end, request_bytes
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.platform_upstream import heartbeat

START_S = 20.0


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """What a caller received, and when.

    Parameters
    ----------
    answer : bytes
        All bytes up to the end of the connection.
    ended_s : float
        Monotonic time of that end.
    """

    answer: bytes
    ended_s: float

    @property
    def status(self):
        """Status of the answer; empty without one."""
        return self.answer[9:12].decode("ascii", "replace")


class StoppingEntry:
    """An entry, and calls to send it requests and to stop it.

    Parameters
    ----------
    process : NodeProcess
        The entry.
    """

    def __init__(self, *, process):
        """Wrap a process that serves."""
        self.process = process
        host, _, port = process.settings["listen"]["callers"].rpartition(":")
        self.address = (host, int(port))
        self.stopped_s = None

    def stop(self):
        """Send SIGTERM."""
        self.stopped_s = time.monotonic()
        self.process.send_signal(signal.SIGTERM)

    async def sleep_until(self, after_s):
        """Wait until a time after the first stop request."""
        left_s = self.stopped_s + after_s - time.monotonic()
        await asyncio.sleep(max(0.0, left_s))

    async def exchange(self, target, request_id, *, more=(), deadline_ms=None):
        """Send a request on a connection of its own; returns its outcome."""
        raw = request_bytes(target, more=more, close=False)
        raw = raw.replace(b"Id: r-1\r", b"Id: %s\r" % request_id.encode())
        if deadline_ms is not None:
            raw = raw.replace(b"Ms: 3000", b"Ms: %d" % deadline_ms)
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(raw)
        answer = await read_to_end(reader)
        writer.close()
        return Outcome(answer=answer, ended_s=time.monotonic())

    async def wait(self, timeout_s):
        """Return the exit status and the monotonic time of the end."""
        status = await asyncio.to_thread(self.process.wait, timeout_s)
        return status, time.monotonic()

    def lines(self, event):
        """Return the log lines of an event by the id of their request."""
        return {
            line.get("request"): line
            for line in self.process.lines
            if line["event"] == event
        }


@asynccontextmanager
async def stopping_entry(folder, config, *announced):
    """Run an entry until a request for ``/menu/`` or ``/note/`` is served.

    Parameters
    ----------
    announced : tuple of StandInUpstream, str, dict
        Upstreams, their services, and further fields of their heartbeats.
    """
    cluster = NodeCluster(folder=folder, control=3, entries=1)
    (process,) = cluster.entries
    for standin, _, _ in announced:
        if not standin.is_up:
            await standin.start()
    with cluster:
        await asyncio.to_thread(cluster.put_config, config)
        for standin, service, fields in announced:
            message = heartbeat(standin.address, service, **fields)
            await asyncio.to_thread(
                cluster.announce, standin.upstream, message
            )
        async with asyncio.timeout(START_S):
            while not await asyncio.to_thread(cluster.is_ready, process):
                await asyncio.sleep(0.1)
        # The records of upstreams follow the configuration.
        await asyncio.sleep(1.0)
        yield StoppingEntry(process=process)
