"""Run an entry in the test process, with stand-ins as upstreams.

Tests send it raw bytes over TCP connections.
"""

import asyncio
import math
import random
import zlib
from contextlib import asynccontextmanager

import msgspec

from currantdeal.adapters.metrics import Metrics
from currantdeal.core import boot_time_s
from currantdeal.entry.context import EntryContext
from currantdeal.entry.retry_budgets import RetryRatio
from currantdeal.entry.service import EntryService
from currantdeal.entry.view import EntryView
from currantdeal.node.connection_pool import ConnectionPool
from currantdeal.node.http_server import HttpServer
from currantdeal.node.organisation_messages import CreditAnswer
from currantdeal.organisations import (
    CreditOwner,
    LimitedService,
    RetryAllowance,
)
from currantdeal.platform.calls import PlatformCalls
from currantdeal.platform.config import decode_config
from currantdeal.registry import Stage, UpstreamRecord, UpstreamState

LIMITS = {
    "MaxHeaderBytes": 4_096,
    "MaxBodyBytes": 65_536,
    "HeaderTimeoutMs": 400,
    "IdleTimeoutMs": 5_000,
}


def config_body(
    *,
    version=1,
    timeout_ms=2_000,
    target_ms=300,
    limits=None,
    kv_handle_ttl_s=0.5,
    organisations=None,
    anonymous=(),
    engine=None,
):
    """Return the bytes of a configuration with one route of each kind.

    Parameters
    ----------
    engine : dict or None
        Changed fields of the engines of the model.
    organisations : list or None
        Organisations, see ``listing``.
    anonymous : iterable of str
        Names of routes that need no key.
    """
    times = {"TimeoutMs": timeout_ms, "TargetLatencyMs": target_ms}
    routes = [
        _route("menu", "idempotent", "shop", times, 2),
        _route("order", "non_idempotent", "shop", times, 1),
        _route("note", "streaming", "model", times, 1),
        {
            **_route("draft", "streaming", "model", times, 2),
            "Resumable": True,
        },
    ]
    for route in routes:
        route["Anonymous"] = route["Name"] in anonymous
    optional = {"Tenants": organisations} if organisations is not None else {}
    return msgspec.json.encode(
        {
            "Version": version,
            **optional,
            "Routes": routes,
            "Services": [
                {"Name": "shop", "HealthPath": "/h", "MaxConnections": 9},
                {
                    "Name": "model",
                    "HealthPath": "/h",
                    "MaxConnections": 9,
                    "Engine": {
                        "Slots": 8,
                        "KvCapacityTokens": 30_000,
                        "HoldMs": 2_000.0,
                        "Stride": 10,
                        "SwitchS": 6.0,
                        "HandleTtlS": kv_handle_ttl_s,
                        **(engine or {}),
                    },
                },
            ],
            "Limits": limits or LIMITS,
        }
    )


def listing(*, quota=None, **keys):
    """Return organisations with their keys, as a configuration lists them.

    Parameters
    ----------
    quota : dict or None
        Fields of the quota of each.
    keys : dict
        Keys of each organisation by its name.
    """
    return [
        {"Name": name, "ApiKeys": list(values), **(quota or {})}
        for name, values in keys.items()
    ]


def _route(name, kind, service, times, attempts):
    return {
        "Name": name,
        "Hostname": "cakes.example",
        "PathPrefix": f"/{name}/",
        "RouteType": kind,
        **times,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": attempts,
    }


RETRY_WINDOW_S = 10.0
"""Window of the retry budget."""


class EntryWorld:
    """An entry, and calls to announce upstreams to it and to send requests.

    Parameters
    ----------
    context : EntryContext
        Context that all requests share.
    service : EntryService
        Handler of the requests.
    server : HttpServer
        Server that accepts callers' connections.
    address : tuple
        Host and port of the entry.
    """

    def __init__(self, *, context, service, server, address):
        """Keep the components."""
        self.context = context
        self.service = service
        self.server = server
        self.address = address
        self._sequence = 0

    def announce(
        self, standin, *, service="shop", stage=None, state=None, incarnation=1
    ):
        """Announce an upstream to the entry."""
        self._sequence += 1
        record = UpstreamRecord(
            upstream=standin.upstream,
            service=service,
            address=standin.address,
            data_center="dc1",
            slots=8,
            state=state or UpstreamState.READY,
            started_ms=1_000 * incarnation,
            sequence=self._sequence,
            stage=stage,
        )
        self.context.view.merge_upstreams((record,), complete=False)

    def announce_engines(self, prefill, *decode):
        """Announce a prefill engine and decode engines."""
        self.announce(prefill, service="model", stage=Stage.PREFILL)
        for standin in decode:
            self.announce(standin, service="model", stage=Stage.DECODE)

    async def send(self, raw):
        """Open a connection and send bytes."""
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(raw)
        await writer.drain()
        return reader, writer

    async def exchange(self, raw, *, timeout_s=5.0):
        """Send a request that closes its connection; return all bytes."""
        reader, writer = await self.send(raw)
        async with asyncio.timeout(timeout_s):
            answer = await read_to_end(reader)
        writer.close()
        return answer


async def read_to_end(reader):
    """Return all bytes up to the end of the connection.

    A reset is returned as ``<reset>`` after the bytes.
    """
    received = []
    try:
        while data := await reader.read(65_536):
            received.append(data)
    except ConnectionError:
        received.append(b"<reset>")
    return b"".join(received)


def request_bytes(target, *, method="POST", body=b"x", more=(), close=True):
    """Return the bytes of a well-formed request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: cakes.example",
        "X-Currantdeal-Request-Id: r-1",
        "X-Currantdeal-Deadline-Ms: 3000",
        *more,
    ]
    if close:
        lines.append("Connection: close")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


GENERATION = (
    "X-Currantdeal-Model: m",
    "X-Currantdeal-Token-Counts: 3000,900",
    "X-Currantdeal-Length-Hint: 500",
)
"""Headers that mark a request as a generation."""


def _retry_owner(allowance):
    """Return what asks an owner of the retry budgets in this process."""
    owner = CreditOwner(
        epoch=1, margin=None, opened_s=-math.inf, grants_unlimited=False
    )
    quota = RetryAllowance(units=allowance, window_s=RETRY_WINDOW_S)
    limited = [
        LimitedService(name=name, quota=quota) for name in ("shop", "model")
    ]
    owner.update(limited, now_s=0.0)

    async def ask(asks):
        now_s = boot_time_s()
        grants = tuple(
            owner.grant("entry", a, entries=1, now_s=now_s) for a in asks
        )
        return CreditAnswer(epoch=1, grants=grants)

    return ask


@asynccontextmanager
async def entry_world(*, config=None, allowance=100.0, revocation_s=math.inf):
    """Run an entry for the duration of a test."""
    loop = asyncio.get_running_loop()
    view = EntryView(
        read_config=decode_config,
        data_center="dc1",
        region="r1",
        region_of={"dc1": "r1"},
        heartbeat_s=1.0,
        clock=loop.time,
    )
    if config != b"":
        view.apply_config(1, zlib.compress(config or config_body()))
    metrics = Metrics()
    context = EntryContext(
        view=view,
        pool=ConnectionPool(metrics=metrics),
        dialect=PlatformCalls(),
        random=random.Random(1),
        retry_ratio=RetryRatio(ratio=0.2, window_s=RETRY_WINDOW_S),
        metrics=metrics,
        revocation_s=revocation_s,
    )
    context.retry_budgets.connect(_retry_owner(allowance))
    service = EntryService(context=context)
    server = HttpServer(
        handler=service.handle,
        limits=lambda: view.limits,
        on_untaken=service.log.record_untaken,
    )
    await server.start("127.0.0.1", 0)
    address = server.address
    try:
        yield EntryWorld(
            context=context, service=service, server=server, address=address
        )
    finally:
        server.stop_listening()
