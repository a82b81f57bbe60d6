"""Tests of stand-in upstreams whose links can be cut by process."""

import asyncio
import contextlib
import os
import socket
import subprocess
import sys

import pytest

from currantdeal.testing.cut_upstream import (
    CutUpstream,
    LinkCut,
    SocketOwners,
)

OTHER_PROCESS = """
import socket, sys
sock = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
print("connected", flush=True)
sys.stdin.read()
"""
WAIT_S = 5.0
HELD_S = 0.3
REQUEST = b"GET /h HTTP/1.1\r\nHost: u1\r\n\r\n"


class CountingOwners(SocketOwners):
    """Counts how often the sockets of all processes are listed."""

    def __init__(self, **options):
        """Start at zero."""
        super().__init__(**options)
        self.lists = 0

    def _list_now(self):
        self.lists += 1
        return super()._list_now()


@contextlib.asynccontextmanager
async def a_standin(ids):
    """Yield a stand-in and the owners that it asks."""
    owners = CountingOwners(process_ids=lambda: ids)
    standin = CutUpstream(upstream="u1", owners=owners)
    await standin.start()
    try:
        yield standin, owners
    finally:
        standin.stop()


def _port_of(standin):
    return int(standin.address.rpartition(":")[2])


async def _answer(standin):
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", _port_of(standin)
    )
    writer.write(REQUEST)
    return reader, writer, await reader.readuntil(b"ok")


def test_sockets_are_not_listed_while_nothing_is_cut():
    """Guards against lists that keep the loop of a large soak busy."""

    async def test():
        async with a_standin([os.getpid()]) as (standin, owners):
            for _ in range(5):
                _, writer, _ = await _answer(standin)
                writer.close()
            assert owners.lists == 0

    asyncio.run(test())


@pytest.mark.parametrize("how", [LinkCut.RESET, LinkCut.HANG])
def test_connection_opened_before_a_cut_is_cut(how):
    """Guards against open links that a cut misses: their owner is unknown."""

    async def test():
        async with a_standin([os.getpid()]) as (standin, _):
            reader, writer, _ = await _answer(standin)
            standin.cut([os.getpid()], how)
            writer.write(REQUEST)
            if how is LinkCut.RESET:
                with pytest.raises(ConnectionResetError):
                    await asyncio.wait_for(reader.readexactly(1), WAIT_S)
                return
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.readexactly(1), HELD_S)
            standin.heal([os.getpid()])
            await asyncio.wait_for(reader.readuntil(b"ok"), WAIT_S)

    asyncio.run(test())


def test_connection_of_another_process_survives_a_cut():
    """Guards against a cut that ends links of processes it does not name."""

    async def test():
        async with a_standin([os.getpid()]) as (standin, _):
            reader, writer, _ = await _answer(standin)
            other = await asyncio.to_thread(_connect_elsewhere, standin)
            try:
                ids = [other.pid]
                standin.cut(ids, LinkCut.RESET)
                writer.write(REQUEST)
                await asyncio.wait_for(reader.readuntil(b"ok"), WAIT_S)
            finally:
                other.communicate()

    asyncio.run(test())


def test_new_connection_during_a_cut_is_cut():
    """Guards against links opened during a cut whose owner is not sought."""

    async def test():
        async with a_standin([os.getpid()]) as (standin, _):
            standin.cut([os.getpid()], LinkCut.RESET_NEW)
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await asyncio.wait_for(_answer(standin), WAIT_S)

    asyncio.run(test())


def _connect_elsewhere(standin):
    other = subprocess.Popen(
        [sys.executable, "-c", OTHER_PROCESS, str(_port_of(standin))],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert other.stdout.readline() == b"connected\n"
    return other


def test_owner_of_a_closed_connection_is_unknown():
    """Guards against an error when a connection ends before a cut."""
    owners = SocketOwners(process_ids=lambda: [os.getpid(), 2**22 + 1])
    with socket.create_server(("127.0.0.1", 0)) as server:
        target = server.getsockname()
        client = socket.create_connection(target)
        source = client.getsockname()
        assert owners.owners_now([(source, target)]) == [os.getpid()]
        client.close()
        assert owners.owners_now([(source, target)]) == [None]
