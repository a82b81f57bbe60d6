"""Configuration and requests of a small site like ``ekam-route``."""

import asyncio
import secrets

from wire import encode, read_body, read_chunks, read_head

HOST = "ficu95.example"
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}
MODEL_SERVICE = "huvo11a"
DESK_SERVICE = "wuno96b"


def route(name, kind, service, **more):
    """Return a route with the limits of its kind on the sheet."""
    is_model = service == MODEL_SERVICE
    return {
        "Name": name,
        "Hostname": HOST,
        "PathPrefix": f"/{name}/",
        "RouteType": kind,
        "TimeoutMs": 14000 if is_model else 1500,
        "TargetLatencyMs": 900 if is_model else 300,
        "Priority": 1 if is_model else 2,
        "Service": service,
        "MaxAttempts": 1,
        "Sticky": is_model,
        "Resumable": False,
        "ItlTargetMs": 300 if is_model else 0,
        **more,
    }


def config(version, routes):
    """Return a configuration with both services of the site."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": MODEL_SERVICE,
                "HealthPath": "/healthz",
                "MaxConnections": 300,
                "Protocol": "h1",
                "Tls": False,
                "Engine": {
                    "Slots": 48,
                    "KvCapacityTokens": 40366,
                    "KvBytes": 131072,
                    "LinkMbps": 1100000.0,
                    "Moves": True,
                    "Backups": True,
                    "Stride": 18,
                    "most": 12,
                    "HandleTtlS": 0.5,
                    "SwitchS": 6.0,
                    "PinMs": 4000.0,
                    "HoldMs": 2000.0,
                    "Models": [{"Name": "m"}],
                },
            },
            {
                "Name": DESK_SERVICE,
                "HealthPath": "/healthz",
                "MaxConnections": 110,
                "Protocol": "h1",
                "Tls": False,
            },
        ],
        "Limits": LIMITS,
    }


def new_id():
    """Return an id for one client attempt."""
    return secrets.token_hex(8)


def generation_headers():
    """Return the headers of a generation."""
    part = f"{secrets.token_hex(4)}:200,{secrets.token_hex(4)}:3000"
    return [
        ("X-Currantdeal-Model", "m"),
        ("X-Currantdeal-Token-Counts", "3200,170"),
        ("X-Currantdeal-Length-Hint", "71"),
        ("X-Currantdeal-Prefix-Hash", part),
    ]


class Outcome:
    """What a client got for one attempt."""

    def __init__(self, request):
        """Start without an answer."""
        self.request = request
        self.status = 0
        self.signature = ""
        self.body = b""
        self.complete = False

    def record(self, record):
        """Write the outcome to a record."""
        record.add(
            "answered",
            request=self.request,
            status=self.status,
            signed=bool(self.signature),
            complete=self.complete,
            bytes=len(self.body),
        )


async def send(address, path, *, deadline_ms, headers=(), body=b"", name=None):
    """Send one request on a channel of its own; returns its ``Outcome``."""
    outcome = Outcome(name or new_id())
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [
                ("Host", HOST),
                ("X-Currantdeal-Request-Id", outcome.request),
                ("X-Currantdeal-Deadline-Ms", deadline_ms),
                ("Content-Length", len(body)),
                *headers,
            ]
            writer.write(encode(f"POST {path} HTTP/1.1", lines, body))
            await writer.drain()
            await _read_answer(reader, outcome)
    except (OSError, TimeoutError, EOFError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return outcome


async def _read_answer(reader, outcome):
    head = await read_head(reader)
    if head is None:
        return
    outcome.status = head.status
    outcome.signature = head.get("x-currantdeal-response-signature")
    if "chunked" in head.get("transfer-encoding"):
        async for chunk in read_chunks(reader):
            outcome.body += chunk
    else:
        outcome.body = (await read_body(reader, head)).body
    outcome.complete = True
