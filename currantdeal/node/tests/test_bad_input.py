import asyncio

import pytest

from currantdeal.testing.entry_world import (
    entry_world,
    read_to_end,
    request_bytes,
)
from currantdeal.testing.platform_upstream import StandInUpstream

ID = "X-Currantdeal-Request-Id: r-1\r\n"
HEAD = f"POST /order/1 HTTP/1.1\r\nHost: cakes.example\r\n{ID}"
SMUGGLED = "GET /menu/2 HTTP/1.1\r\nHost: cakes.example\r\n\r\n"


def _send_request(raw):
    async def run():
        standin = StandInUpstream()
        async with entry_world() as world:
            await standin.start()
            world.announce(standin)
            return await world.exchange(raw), standin.requests

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (
            HEAD + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
            "0\r\n\r\n" + SMUGGLED,
            b"400",
        ),
        (
            HEAD + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            b"400",
        ),
        (HEAD + "X-Long: a\r\n b\r\nContent-Length: 0\r\n\r\n", b"400"),
        (HEAD + "X-Bare: a\nContent-Length: 0\r\n\r\n", b"400"),
        (HEAD + "Content-Length: -1\r\n\r\n", b"400"),
        (HEAD + "Transfer-Encoding: gzip\r\n\r\n", b"501"),
        (HEAD + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", b"400"),
        (HEAD + "Bad Name: 1\r\n\r\n", b"400"),
        ("POST /order/1 HTTP/1.1\r\n\r\n", b"400"),
        ("POST http://a/order/1 HTTP/1.1\r\nHost: a\r\n\r\n", b"400"),
        ("no request at all\r\n\r\n", b"400"),
        (HEAD + f"X-Long: {'a' * 5000}\r\n\r\n", b"431"),
        (HEAD + "Content-Length: 70000\r\n\r\n", b"413"),
        (HEAD, b"408"),
    ],
)
def test_ambiguously_framed_request_is_rejected(raw, status):
    """A caller sends a request that two parsers end in different places.

    Guards against request smuggling: the bytes after the first end would run
    as a request that no caller made.
    """
    answer, seen = _send_request(raw.encode())
    assert answer.split()[1] == status
    assert answer.count(b"HTTP/1.1") == 1
    assert seen == []


@pytest.mark.parametrize(
    "target",
    [
        "/order/../../admin",
        "/order/./1",
        "/order/..",
        "/order/%2e%2E/admin",
        "/order/.%2e/admin",
        "/order/..;/admin",
        "/order/..\\admin",
    ],
)
def test_path_with_dot_segments_is_rejected(target):
    """Guards against a path that an upstream resolves to another route."""
    answer, seen = _send_request(request_bytes(target, body=b""))
    assert answer.split()[1] == b"400"
    assert seen == []


@pytest.mark.parametrize("target", ["/order/a..b", "/order/1?next=/../x"])
def test_path_with_other_dots_is_forwarded(target):
    answer, (request,) = _send_request(request_bytes(target, body=b""))
    assert answer.startswith(b"HTTP/1.1 200")
    assert request.target == target


@pytest.mark.parametrize("version", ["9.9", "2.0", "0.9"])
def test_other_major_version_is_not_supported(version):
    """Guards against a response in a protocol version that is unsupported."""
    raw = request_bytes("/order/1").replace(
        b"HTTP/1.1", f"HTTP/{version}".encode()
    )
    answer, seen = _send_request(raw)
    assert answer.split()[1] == b"505"
    assert seen == []


@pytest.mark.parametrize("deadline", ["-1e9", "-1", "nan", "inf", "soon"])
def test_invalid_deadline_is_rejected(deadline):
    """Guards against reporting a timeout for a malformed request."""
    raw = request_bytes("/order/1").replace(
        b"Deadline-Ms: 3000", f"Deadline-Ms: {deadline}".encode()
    )
    answer, seen = _send_request(raw)
    assert answer.split()[1] == b"400"
    assert seen == []


@pytest.mark.parametrize(
    "raw",
    [
        HEAD + "Bad Name: 1\r\n\r\n",
        HEAD + "Content-Length: x\r\n\r\n",
        HEAD + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        "no request at all\r\n\r\n",
        "G\0T /order/1 HTTP/1.1\r\nHost: cakes.example\r\n\r\n",
    ],
)
def test_rejection_does_not_quote_raw_bytes(raw):
    """Guards against a Python repr in an error text for callers."""
    answer, _ = _send_request(raw.encode())
    body = answer.partition(b"\r\n\r\n")[2]
    assert body.strip()
    assert b"b'" not in body
    assert b"bytearray" not in body


def test_chunked_body_is_forwarded_whole():
    raw = HEAD + (
        "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\ncake=\r\n1\r\n1\r\n0\r\n\r\n"
    )
    answer, (request,) = _send_request(raw.encode())
    assert answer.startswith(b"HTTP/1.1 200")
    assert request.body == b"cake=1"
    assert request.get("Content-Length") == "6"
    assert not request.get("Transfer-Encoding")


def test_expect_100_continue_is_answered():
    async def run():
        standin = StandInUpstream()
        async with entry_world() as world:
            await standin.start()
            world.announce(standin)
            raw = HEAD + (
                "Expect: 100-continue\r\nContent-Length: 6\r\n"
                "Connection: close\r\n\r\n"
            )
            reader, writer = await world.send(raw.encode())
            async with asyncio.timeout(2.0):
                interim = await reader.readuntil(b"\r\n\r\n")
                writer.write(b"cake=1")
                return interim, await read_to_end(reader)

    interim, answer = asyncio.run(run())
    assert interim.startswith(b"HTTP/1.1 100")
    assert answer.startswith(b"HTTP/1.1 200")


def test_incomplete_request_is_not_forwarded():
    """A caller sends half of its request and then disconnects."""

    async def run():
        standin = StandInUpstream()
        async with entry_world() as world:
            await standin.start()
            world.announce(standin)
            raw = HEAD + "Content-Length: 100\r\n\r\ncake"
            _, writer = await world.send(raw.encode())
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.1)
            return standin.requests

    assert asyncio.run(run()) == []


def test_pipelined_requests_are_both_handled():
    first = request_bytes("/order/1", body=b"one", close=False)
    answer, seen = _send_request(
        first + request_bytes("/order/2", body=b"two")
    )
    assert [r.body for r in seen] == [b"one", b"two"]
    assert answer.count(b"HTTP/1.1 200") == 2
