import asyncio

import pytest

from currantdeal.testing.entry_world import entry_world, request_bytes
from currantdeal.testing.platform_upstream import StandInUpstream

ID = "X-Currantdeal-Request-Id: r-1\r\n"
HEAD = f"HEAD /menu/1 HTTP/1.1\r\nHost: cakes.example\r\n{ID}"
CHUNK = "10000\r\n" + "x" * 65_536 + "\r\n"


def _exchange(raw, *, announces=False):
    """Return all bytes of the answer, and the errors nobody handled."""
    unhandled = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, found: unhandled.append(found))
        standin = StandInUpstream()
        async with entry_world() as world:
            await standin.start()
            if announces:
                world.announce(standin)
            return await world.exchange(raw.encode())

    return asyncio.run(run()), unhandled


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (HEAD + "Content-Length: 70000\r\n\r\n", b"413"),
        (HEAD + f"Transfer-Encoding: chunked\r\n\r\n{CHUNK}{CHUNK}", b"413"),
        (HEAD + "Content-Length: 9\r\n\r\n", b"408"),
        (HEAD.replace("menu", "none") + "Connection: close\r\n\r\n", b"404"),
        (HEAD + "Connection: close\r\n\r\n", b"503"),
    ],
)
def test_refused_head_request_is_answered(raw, status):
    """Guards against a refusal that fails because it may have no body."""
    answer, unhandled = _exchange(raw)
    assert answer.split()[1] == status
    assert answer.endswith(b"\r\n\r\n")
    assert unhandled == []


def test_head_request_is_forwarded():
    answer, unhandled = _exchange(
        HEAD + "Connection: close\r\n\r\n", announces=True
    )
    assert answer.endswith(b"\r\n\r\n")
    assert unhandled == []


@pytest.mark.parametrize("announces", [False, True])
def test_connect_request_is_rejected(announces):
    """Guards against a request whose answer leaves HTTP."""
    raw = request_bytes("/menu/1", method="CONNECT", body=b"").decode()
    answer, unhandled = _exchange(raw, announces=announces)
    assert answer.split()[1] == b"501"
    assert unhandled == []
