import asyncio
import contextlib
import socket

import pytest

from currantdeal.testing.platform_upstream import StandInUpstream


async def _address_of_stopped(standin):
    await standin.start()
    standin.stop()
    host, _, port = standin.address.rpartition(":")
    return host, int(port)


def test_port_of_a_stopped_upstream_is_nobody_elses():
    """Guards against answers of a process that got the port of another."""
    standin = StandInUpstream()
    address = asyncio.run(_address_of_stopped(standin))
    with (
        contextlib.closing(socket.socket()) as other,
        pytest.raises(OSError, match="in use"),
    ):
        other.bind(address)


def test_stopped_upstream_refuses_connections_until_it_starts_again():
    """Guards against a reserved port that accepts or cannot be used again."""

    async def run():
        standin = StandInUpstream()
        address = await _address_of_stopped(standin)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)
        await standin.start(*address)
        assert standin.address == "{}:{}".format(*address)
        _, writer = await asyncio.open_connection(*address)
        writer.close()
        standin.stop()

    asyncio.run(run())
