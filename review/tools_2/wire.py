"""HTTP/1.1 as the stand-ins speak it."""

import asyncio
from dataclasses import dataclass, field


@dataclass(kw_only=True)
class Message:
    """A request or a response.

    Parameters
    ----------
    start : tuple of str
        The three parts of the first line.
    headers : dict
        Values by names in lower case.
    complete : bool
        Whether the body came to its end.
    """

    start: tuple[str, str, str]
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True

    @property
    def status(self):
        """Status of a response."""
        return int(self.start[1])

    def get(self, name):
        """Return the value of a header, or an empty string."""
        return self.headers.get(name.lower(), "")


async def read_head(reader):
    """Return a ``Message`` without its body; None at the end."""
    line = await reader.readline()
    if not line.strip():
        return None
    parts = line.decode("latin-1").strip().split(" ", 2)
    message = Message(start=tuple((*parts, "", "")[:3]))
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        message.headers[name.strip().lower()] = value.strip()
    return message


async def read_body(reader, message):
    """Read the body of a message into it; returns it."""
    if "chunked" in message.get("transfer-encoding").lower():
        message.complete = False
        async for chunk in read_chunks(reader):
            message.body += chunk
        message.complete = True
    elif message.get("content-length"):
        length = int(message.get("content-length"))
        message.complete = False
        message.body = await reader.readexactly(length)
        message.complete = True
    elif message.start[0].startswith("HTTP/"):
        message.body = await reader.read()
    return message


async def read_chunks(reader):
    """Yield the chunks of a body.

    Raises
    ------
    asyncio.IncompleteReadError
        If the body is broken off.
    """
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def encode(start, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(address, method, path, *, body=b"", timeout_s=1.0, headers=()):
    """Send a request on a new connection; None without a whole answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            more = [("Host", address), ("Connection", "close"), *headers]
            if body:
                more.append(("Content-Length", len(body)))
            writer.write(encode(f"{method} {path} HTTP/1.1", more, body))
            message = await read_head(reader)
            if message is None:
                return None
            return await read_body(reader, message)
    except (OSError, TimeoutError, EOFError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
