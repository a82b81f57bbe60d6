"""Provide a script of an upstream whose answers are malformed at random."""

from currantdeal.testing.answer_shapes import reset
from currantdeal.testing.platform_upstream import echo_lines, send_chunk

SOUND_SHARE = 0.45
"""Share of requests that get the answer of a healthy upstream."""

_STATUSES = (
    *("200 OK", "204 None", "205 R", "304 N", "404 N", "500 E", "503 S"),
    *("999 X", "100 C", "101 Switch", "103 Early", "600 X", "421 M"),
)
_FRAMINGS = (
    *("Content-Length: 2", "Content-Length: 2, 2", "Content-Length: 9"),
    *("Content-Length: 99999999999999999999999", "Content-Length: -1"),
    *("Transfer-Encoding: chunked", "Transfer-Encoding: gzip, chunked"),
    "Transfer-Encoding: chunked\r\nContent-Length: 2",
    *("Transfer-Encoding: identity", "Connection: close", ""),
)
_HEADERS = (
    *("", "X-A: \x01\x02", "X-A: \x7f\xff", "X-A: a\x0bb", "X-A:"),
    *("Keep-Alive: timeout=99999999999999999999", "Retry-After: nan"),
    *("Content-Type: \xff;;;", "X-A: a\r\n  b", "Trailer: x"),
    *("Upgrade: h2c\r\nConnection: upgrade", "Connection: close, x-a"),
    *("X-Currantdeal-Load: {", "X-Currantdeal-Instance: \xff\x01"),
    *("X-Currantdeal-Not-Executed: 1", "RateLimit: 1;w=0"),
)
_TYPES = ("Content-Type: text/event-stream", "Content-Type: text/plain", "")
_BODIES = (
    *(b"ok", b"", b"2\r\nok\r\n0\r\n\r\n", b"zz\r\n", b"\xff" * 99),
    b"2\r\nok\r\n0\r\nX-T: \x01\r\n\r\n",
    b"0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    *(b'{"Hold": "a b"}', b'{"Hold":1}', b'{"KvHandle":"\\u4e2d"}'),
    b"ffffffffffffffffffff\r\nx",
)
_IDS = (b"a\x00b", b"a\x0bb", b"\xff\xfe", b"", b"x" * 3_000, b"1", b"a\tb")


def malformed_answers(random):
    """Return the script of an upstream, see ``StandInUpstream``."""

    async def script(standin, request, writer):
        if random.random() < SOUND_SHARE:
            return False
        if request.is_generation and random.random() < 0.25:
            standin.begin_stream(request, writer)
            for _ in range(random.randrange(3)):
                event_id = random.choice(_IDS)
                send_chunk(writer, b"id: %s\ndata: x\n\n" % event_id)
        else:
            writer.write(_answer(random, request))
        await writer.drain()
        end = random.choice((writer.close, lambda: reset(writer), None))
        if end is not None:
            end()
        return True

    return script


def _answer(random, request):
    lines = [
        f"HTTP/1.{random.choice('0111')} {random.choice(_STATUSES)}",
        *(echo_lines(request) if random.random() < 0.8 else ()),
        *random.choice((("X-Currantdeal-Response-Signature: s",), ())),
        *(random.choice(choices) for choices in (_FRAMINGS, _HEADERS, _TYPES)),
    ]
    head = "\r\n".join(filter(None, lines)).encode("latin-1") + b"\r\n\r\n"
    raw = bytearray(head + random.choice(_BODIES))
    if random.random() < 0.1:
        raw[random.randrange(len(raw))] = random.randrange(256)
    return bytes(raw)
