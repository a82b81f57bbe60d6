"""Provide stand-in upstreams that answer a request more than once."""

import asyncio
import json
from collections import defaultdict
from dataclasses import dataclass, replace
from enum import Enum

from currantdeal.testing.platform_upstream import (
    StandInUpstream,
    echo_lines,
    send_chunk,
)

PAUSE_S = 0.01
"""Pause that separates an extra answer from the own one, or its parts."""

ALIEN = "alien"
"""Body, handle and reservation of each extra answer."""

ALIEN_LOAD = 99
"""Requests that run at the upstream by each extra answer."""


class Extra(Enum):
    """What an extra answer is."""

    REFUSAL = "refusal"
    SUCCESS = "success"
    ERROR = "error"
    GRANT = "grant"


class Identity(Enum):
    """Which id an extra answer bears.

    ``SAME`` is the id of the waiting request, which an earlier request on
    the connection had as well.
    """

    OTHER = "other"
    NONE = "none"
    SAME = "same"


class Moment(Enum):
    """When an extra answer is sent."""

    IDLE = "idle"
    BEFORE = "before"
    ONE_SEGMENT = "one-segment"
    IN_PARTS = "in-parts"
    TWICE = "twice"
    AFTER = "after"


@dataclass(frozen=True, kw_only=True)
class Repetition:
    """An extra answer, and when it is sent."""

    extra: Extra
    identity: Identity
    moment: Moment

    def __str__(self):
        """Return a name for the case of a test."""
        parts = (self.extra, self.identity, self.moment)
        return "-".join(part.value for part in parts)

    def raw(self, request):
        """Return the bytes of the extra answer before that to a request."""
        status = {Extra.REFUSAL: 503, Extra.ERROR: 500}.get(self.extra, 200)
        body = ALIEN.encode()
        if self.extra is Extra.GRANT:
            body = json.dumps({"Hold": ALIEN, "KvHandle": ALIEN}).encode()
        lines = [f"HTTP/1.1 {status} Again"]
        if self.identity is Identity.OTHER:
            lines.append("X-Currantdeal-Request-Id: other")
        elif self.identity is Identity.SAME:
            lines += echo_lines(request)
        if self.extra is Extra.REFUSAL:
            lines.append("X-Currantdeal-Not-Executed: 1")
        else:
            lines.append("X-Currantdeal-Response-Signature: s")
        lines += [
            "X-Currantdeal-Instance-Id: another",
            f"X-Currantdeal-Instance-Load: {ALIEN_LOAD},0,1",
            "X-Currantdeal-Server-Limit: 0.01",
            f"Content-Length: {len(body)}",
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class RepeatingUpstream(StandInUpstream):
    """An upstream that sends extra answers around those to chosen calls.

    An extra answer is sent only on a connection that has carried another
    call.  A run is answered with the body of its request, as an event if it
    is a stream; one that goes on from a KV cache, with the body of the request
    that was prefilled.

    Parameters
    ----------
    repetition : Repetition
        The extra answers.
    is_chosen : callable
        Whether extra answers are sent around that to a ``ReceivedRequest``.
    owners : dict or None
        Bodies of the prefilled requests by handle, shared by the engines.
    echoes_calls : bool
        Whether own answers to calls of the system bear their ids.  If not,
        an extra grant without an id repeats the last answer on its connection
        instead of naming something that was never granted.
    cuts_first_runs : bool
        Whether a stream that resumes none is broken off after one event.

    Attributes
    ----------
    sent : int
        Number of extra answers.
    granted : set of str
        Handles and reservations in own answers.
    """

    def __init__(
        self,
        *,
        repetition,
        is_chosen,
        owners=None,
        echoes_calls=True,
        cuts_first_runs=False,
        **more,
    ):
        """Start without connections."""
        super().__init__(**more)
        self.sent = 0
        self.granted = set()
        self._owners = {} if owners is None else owners
        self.repetition = repetition
        self._is_chosen = is_chosen
        self._echoes_calls = echoes_calls
        self._cuts_first_runs = cuts_first_runs
        self._carried = defaultdict(set)
        self._last_grant = {}

    async def answer(self, request, writer):
        """Send the own answer, with the extra one around it."""
        own = AnswerBuffer()
        self._answer_own(request, own)
        may_repeat = self._may_repeat(request, writer)
        extra = self._extra(request, writer)
        if request.target == "/v1/hold-take":
            self._last_grant[writer] = own.data
        self._carried[writer].add(request.request_id)
        if not may_repeat:
            writer.write(own.data)
        else:
            self.sent += 1
            await send_around(
                writer,
                own.data,
                extra,
                self.repetition.moment,
            )
        await writer.drain()
        if own.is_cut:
            writer.close()

    def _may_repeat(self, request, writer):
        earlier = self._carried[writer]
        if not (earlier and self._is_chosen(request)):
            return False
        is_same = self.repetition.identity is Identity.SAME
        return not is_same or request.request_id in earlier

    def _extra(self, request, writer):
        """Return the bytes of the extra answer before that to a request."""
        repetition = self.repetition
        is_repeated = (
            not self._echoes_calls
            and repetition.extra is Extra.GRANT
            and repetition.identity is Identity.NONE
        )
        if is_repeated and writer in self._last_grant:
            return self._last_grant[writer]
        return repetition.raw(request)

    def _answer_own(self, request, writer):
        if not request.is_run:
            self._answer_call(request, writer)
        elif not request.is_generation:
            self.send(request, writer, 200, request.body)
        else:
            self.begin_stream(request, writer)
            last = request.get("Last-Event-Id")
            text = self._text_of(request)
            event = f"id: {int(last or 0) + 1}\ndata: {text}\n\n"
            send_chunk(writer, event.encode())
            if self._cuts_first_runs and not last:
                writer.is_cut = True
            else:
                writer.write(b"0\r\n\r\n")

    def _text_of(self, request):
        source = request.get("X-Currantdeal-Kv-Source")
        if not source:
            return request.body.decode()
        return self._owners.get(source.rpartition("/")[2], ALIEN)

    def _answer_call(self, request, writer):
        number = f"{self.upstream}-{len(self.requests)}"
        self.granted.add(number)
        self._owners[number] = request.body.decode()
        if not (self._echoes_calls or request.is_prefill):
            request = replace(request, headers=())
        content = {"Hold": number, "KvHandle": number}
        self._send_json(request, writer, content)


class AnswerBuffer:
    """Collects the bytes of an own answer in place of a ``StreamWriter``.

    Attributes
    ----------
    is_cut : bool
        Whether the connection is closed behind them.
    """

    def __init__(self):
        """Start empty."""
        self.data = b""
        self.is_cut = False

    def write(self, data):
        """Append bytes."""
        self.data += data

    async def drain(self):
        """Return at once."""


async def send_around(writer, own, extra, moment):
    """Send an own answer and an extra one at its ``Moment``."""
    if moment is Moment.ONE_SEGMENT:
        writer.write(extra + own)
    elif moment is Moment.AFTER:
        writer.write(own + extra)
    elif moment is Moment.IDLE:
        await _write_apart(writer, own, extra)
    elif moment is Moment.IN_PARTS:
        await _write_apart(writer, extra[:25], extra[25:-3], extra[-3:])
        writer.write(own)
    else:
        await asyncio.sleep(PAUSE_S)
        count = 2 if moment is Moment.TWICE else 1
        await _write_apart(writer, *[extra] * count)
        writer.write(own)


async def _write_apart(writer, *parts):
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
