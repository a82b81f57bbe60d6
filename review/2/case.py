"""Late extra answers of a prefill engine, and streams of other requests.

Three in a hundred answers of the prefill engine are followed by an extra one,
which arrives late: at the point where the next answer on that channel is
expected.  It bears the id of the request that it repeats.  Meanwhile the
links of two of the four engines are slow.

The text of each event names the request whose prompt it was generated from,
as a model's output tells what its prompt was about.
"""

import asyncio
import itertools
import json
import os
import random
import re
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from deployment import Deployment, SetupError  # noqa: E402
from standins import (  # noqa: E402
    HOST,
    NOT_EXECUTED,
    Client,
    Record,
    Upstream,
    keep_announcing,
)

SERVICE = "model-fleet"
PATH = "/report/"
EXTRA_SHARE = 0.03
PROMPT_TOKENS = 1_000
OUTPUT_TOKENS = 71
TOKENS_PER_EVENT = 18
PREFILL_TOKENS_PER_MS = 33.3333
TOKEN_S = 0.042
KV_BYTES = 131_072
LINK_MBPS = 1_100_000.0
OTHER_REGION_FACTOR = 10.0
SLOW_LINK_FACTOR = 8.0
HANDLE_TTL_S = 0.5
TIME_LIMIT_S = 14.0
TRAFFIC_S = 60.0
REQUESTS_PER_S = 20.0

CONFIG = {
    "Version": 1,
    "Routes": [
        {
            "Name": "reverb-report",
            "Hostname": HOST,
            "PathPrefix": PATH,
            "RouteType": "streaming",
            "TimeoutMs": 14_000,
            "TargetLatencyMs": 900,
            "Priority": 1,
            "Service": SERVICE,
            "MaxAttempts": 1,
            "Sticky": True,
            "Resumable": False,
            "ItlTargetMs": 300,
        }
    ],
    "Services": [
        {
            "Name": SERVICE,
            "HealthPath": "/healthz",
            "MaxConnections": 300,
            "Protocol": "h1",
            "Tls": False,
            "Engine": {
                "Slots": 48,
                "KvCapacityTokens": 40_366,
                "KvBytes": KV_BYTES,
                "LinkMbps": LINK_MBPS,
                "Moves": True,
                "Backups": True,
                "Stride": TOKENS_PER_EVENT,
                "most": 12,
                "HandleTtlS": HANDLE_TTL_S,
                "SwitchS": 6.0,
                "PinMs": 4_000.0,
                "HoldMs": 2_000.0,
                "Models": [{"Name": "m"}],
            },
        }
    ],
    "Limits": {
        "MaxHeaderBytes": 16_384,
        "MaxBodyBytes": 4_194_304,
        "HeaderTimeoutMs": 3_000,
        "IdleTimeoutMs": 15_000,
    },
}


class Engine(Upstream):
    """What both stages of an engine have in common."""

    def __init__(self, *, stage, **more):
        """Announce the stage and one model."""
        models = [{"Name": "m", "Version": 1, "Adapters": []}]
        super().__init__(
            service=SERVICE, more={"Stage": stage, "Models": models}, **more
        )

    async def answer(self, request, writer):
        """Answer a request, and record orders."""
        if request.target == "/healthz":
            mine = f"X-Currantdeal-Instance-Id: {self.name}"
            writer.write(self.response(request, 200, b"", mine))
        elif request.target == "/v1/order":
            self.record.add("order", upstream=self.name, body=request.body)
            writer.write(self._json(request, {}, 409))
        else:
            await self.answer_work(request, writer)

    async def answer_work(self, request, writer):
        """Answer a call that belongs to a generation."""
        raise NotImplementedError

    def _json(self, request, content, status=200, *headers):
        kind = "Content-Type: application/json"
        raw = json.dumps(content).encode()
        return self.response(request, status, raw, kind, *headers)


class PrefillEngine(Engine):
    """Prefills prompts one after the other and keeps their KV caches.

    Parameters
    ----------
    trouble : bool
        Whether extra answers follow some of its answers.
    source : random.Random
        Chooses them.
    """

    def __init__(self, *, trouble, source, **more):
        """Start without KV caches."""
        super().__init__(stage="prefill", **more)
        self._trouble = trouble
        self._source = source
        self._busy = asyncio.Lock()
        self._kept = {}
        self._extra = {}

    def take(self, handle):
        """Return the owner of a KV cache and drop it; None if it is gone."""
        owner, until_s = self._kept.pop(handle, (None, 0.0))
        return owner if time.monotonic() < until_s else None

    async def answer_work(self, request, writer):
        """Prefill a prompt or free a KV cache."""
        extra = self._extra.pop(writer, None)
        if extra is not None:
            repeated_id, raw = extra
            self.record.add(
                "extra-answer",
                upstream=self.name,
                repeats=repeated_id,
                before=request.request_id or request.target,
            )
            writer.write(raw)
            await writer.drain()
        if request.method == "DELETE":
            self._kept.pop(request.target.rpartition("/")[2], None)
            writer.write(self._json(request, {}))
            return
        if request.get("X-Currantdeal-Stage") != "prefill":
            writer.write(self.response(request, 421, b"", NOT_EXECUTED))
            return
        async with self._busy:
            await asyncio.sleep(
                PROMPT_TOKENS / PREFILL_TOKENS_PER_MS / 1_000.0
            )
        handle = f"{self._source.getrandbits(48):012x}"
        until_s = time.monotonic() + HANDLE_TTL_S
        self._kept[handle] = (request.request_id, until_s)
        self.record.add("prefilled", request=request.request_id, handle=handle)
        content = {"KvHandle": handle, "Tokens": PROMPT_TOKENS, "Version": 1}
        raw = self._json(request, content)
        writer.write(raw)
        if self._trouble and self._source.random() < EXTRA_SHARE:
            self._extra[writer] = (request.request_id, raw)


class DecodeEngine(Engine):
    """Fetches KV caches one after the other, and streams.

    Parameters
    ----------
    prefill : PrefillEngine
        The engine whose KV caches it fetches.
    link_factor : float
        How many times as long as in its own data centre a fetch takes.
    mixed : list
        Receives the pairs of a request and the one whose KV cache it used.
    """

    def __init__(self, *, prefill, link_factor, mixed, **more):
        """Start without transfers."""
        super().__init__(stage="decode", **more)
        self._prefill = prefill
        size_mbit = PROMPT_TOKENS * KV_BYTES * 8 / 1e6
        self._transfer_s = link_factor * size_mbit / LINK_MBPS
        self._mixed = mixed
        self._link = asyncio.Lock()
        self._numbers = itertools.count(1)

    async def answer_work(self, request, writer):
        """Reserve memory or run a generation."""
        if request.target == "/v1/hold-take":
            number = f"{self.name}-{next(self._numbers)}"
            writer.write(self._json(request, {"Hold": number}))
        elif request.method == "DELETE":
            writer.write(self._json(request, {}))
        elif request.get("X-Currantdeal-Stage"):
            writer.write(self.response(request, 421, b"", NOT_EXECUTED))
        else:
            await self._generate(request, writer)

    async def _generate(self, request, writer):
        source = request.get("X-Currantdeal-Kv-Source")
        owner = request.request_id
        if source:
            handle = source.rpartition("/")[2]
            async with self._link:
                owner = self._prefill.take(handle)
                if owner is not None:
                    await asyncio.sleep(self._transfer_s)
            self.record.add(
                "fetched" if owner else "fetch-failed",
                upstream=self.name,
                request=request.request_id,
                handle=handle,
                owner=owner,
            )
            if owner is None:
                writer.write(self.response(request, 503, b"", NOT_EXECUTED))
                return
        else:
            await asyncio.sleep(
                2 * PROMPT_TOKENS / PREFILL_TOKENS_PER_MS / 1_000.0
            )
        self.record.add(
            "runs", upstream=self.name, request=request.request_id, on=owner
        )
        if owner != request.request_id:
            self._mixed.append((request.request_id, owner))
        await self._stream(request, writer, owner)

    async def _stream(self, request, writer, owner):
        writer.write(
            self.begin_response(
                request,
                200,
                "Content-Type: text/event-stream",
                f"X-Currantdeal-Response-Signature: {self.name}",
                "Transfer-Encoding: chunked",
            )
        )
        for number in range(1, OUTPUT_TOKENS // TOKENS_PER_EVENT + 2):
            event = f"id: {number}\ndata: about {owner}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(TOKENS_PER_EVENT * TOKEN_S)
        writer.write(b"0\r\n\r\n")


class Traffic:
    """Clients that send streams at a steady mean rate on kept channels.

    Parameters
    ----------
    addresses : list of str
        Addresses of the entries.
    source : random.Random
        Source of the pauses.
    """

    def __init__(self, *, addresses, record, source):
        """Send nothing before ``run``."""
        self._addresses = addresses
        self._record = record
        self._source = source
        self._idle = {address: [] for address in addresses}
        self.answers = {}
        self.foreign = []

    async def run(self, duration_s):
        """Send requests for a time and wait for their answers."""
        until_s = time.monotonic() + duration_s
        tasks = []
        for number in itertools.count(1):
            if time.monotonic() >= until_s:
                break
            address = self._addresses[number % len(self._addresses)]
            tasks.append(
                asyncio.create_task(self._send(f"{number:08x}", address))
            )
            await asyncio.sleep(self._source.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*tasks)

    async def _send(self, request_id, address):
        idle = self._idle[address]
        client = idle.pop() if idle else Client(address=address)
        self._record.add("sent", request=request_id, entry=address)
        answer = await client.send(
            request_id,
            "POST",
            f"{PATH}7",
            (
                "X-Currantdeal-Model: m",
                f"X-Currantdeal-Token-Counts: {PROMPT_TOKENS},{OUTPUT_TOKENS}",
                f"X-Currantdeal-Prefix-Hash: {request_id}:{PROMPT_TOKENS}",
            ),
            b"x" * 100,
            TIME_LIMIT_S,
        )
        idle.append(client)
        self.answers[request_id] = answer.status
        about = set(re.findall(r"data: about (\S+)", answer.body.decode()))
        self._record.add(
            "answered",
            request=request_id,
            status=answer.status,
            complete=answer.complete,
            about=",".join(sorted(about)),
        )
        if about - {request_id}:
            self.foreign.append((request_id, sorted(about)))


async def play(deployment, record, *, trouble):
    """Play the traffic; return it and the runs on foreign KV caches."""
    source = random.Random(43)
    mixed = []
    prefill = PrefillEngine(
        name="prefill-a",
        data_center="zone-a",
        record=record,
        trouble=trouble,
        source=source,
    )
    slow = SLOW_LINK_FACTOR if trouble else 1.0
    places = (("zone-b", slow), ("zone-c", slow), ("zone-c", 1.0))
    decode = [
        DecodeEngine(
            name=f"decode-{number}",
            data_center=zone,
            record=record,
            prefill=prefill,
            link_factor=factor * OTHER_REGION_FACTOR,
            mixed=mixed,
        )
        for number, (zone, factor) in enumerate(places, start=1)
    ]
    engines = [prefill, *decode]
    for engine in engines:
        await engine.start()
    control = deployment.control_addresses
    beats = asyncio.create_task(keep_announcing(engines, control, 1.2))
    await asyncio.sleep(3.0)
    traffic = Traffic(
        addresses=deployment.entry_addresses, record=record, source=source
    )
    await traffic.run(TRAFFIC_S)
    beats.cancel()
    for engine in engines:
        await engine.stop()
    return traffic, mixed


def judge(traffic, mixed, record):
    """Return whether each request went on from its own KV cache only."""
    for request_id, owner in mixed:
        record.add("MIXED", request=request_id, handle_of=owner)
    for request_id, about in traffic.foreign:
        record.add("FOREIGN", request=request_id, got=",".join(about))
    record.add(
        "result",
        sent=len(traffic.answers),
        served=sum(s == 200 for s in traffic.answers.values()),
        on_foreign_handles=len(mixed),
        foreign_answers=len(traffic.foreign),
    )
    return not mixed and not traffic.foreign


def main():
    """Run the case; return its exit status."""
    trouble = os.environ.get("TROUBLE") != "0"
    record = Record(path=Path(__file__).with_name("record.txt"))
    try:
        with Deployment(entries=2) as deployment:
            deployment.put_config(CONFIG)
            deployment.wait_ready()
            traffic, mixed = asyncio.run(
                play(deployment, record, trouble=trouble)
            )
    except SetupError as exc:
        record.add("not-run", why=exc)
        return 2
    if not any(status == 200 for status in traffic.answers.values()):
        record.add("not-run", why="no stream was served")
        return 2
    return 0 if judge(traffic, mixed, record) else 1


if __name__ == "__main__":
    sys.exit(main())
