"""Log lines of requests that cannot be parsed."""

import asyncio

import pytest

from currantdeal.node.http_server import HttpServer

KEY = b"acme-key-0123456789"
START = b"POST /x HTTP/1.1\r\nHost: h\r\n"


async def _refusals(raw):
    """Return what the server reports of requests that it refuses."""
    found = []
    server = HttpServer(
        handler=None, on_refused=lambda *refusal: found.append(refusal)
    )
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(raw)
    await reader.read()
    writer.close()
    return found


@pytest.mark.parametrize(
    ("raw", "detail"),
    [
        (START + b"Authorization Bearer: %s\r\n\r\n", "illegal header line"),
        (START + b"Authorization : %s\r\n\r\n", "illegal header line"),
        (b"GET /x?key=%s \x01 HTTP/1.1\r\n\r\n", "illegal request line"),
        (
            START + b"Transfer-Encoding: chunked\r\n\r\n%s\r\n\r\n",
            "illegal chunk header",
        ),
    ],
    ids=["no colon", "space", "request line", "chunk"],
)
def test_malformed_request_leaves_no_credential_in_the_log(raw, detail):
    """Guards against a parser's message that quotes a caller's key."""
    found = asyncio.run(_refusals(raw % KEY))
    assert found == [(400, "the request is malformed", detail)]
