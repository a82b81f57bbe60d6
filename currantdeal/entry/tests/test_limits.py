"""Limits of upstreams at one entry, with stand-ins as upstreams."""

import asyncio

import pytest
from structlog.testing import capture_logs

from currantdeal.testing.entry_world import entry_world, request_bytes
from currantdeal.testing.platform_upstream import StandInUpstream

ORDER = request_bytes("/order/1", body=b"cake=1")


def _serve(*headers):
    """Serve a request with each header; return log lines and metrics."""

    async def run():
        standin = StandInUpstream()
        async with entry_world() as world:
            await standin.start()
            world.announce(standin)
            for header in headers:
                standin.extra_headers = (header,) if header else ()
                await world.exchange(ORDER)
            return world.context.metrics.render()[1]

    with capture_logs() as lines:
        metrics = asyncio.run(run())
    return [x for x in lines if x["event"].startswith("upstream-l")], metrics


def test_limits_are_logged_when_they_change():
    lines, metrics = _serve("Server-Limit: 50", "Server-Limit: 50", None)
    assert [(x["event"], x["before"]) for x in lines] == [
        ("upstream-limit-named", None),
        ("upstream-limit-lifted", 50.0),
    ]
    assert b'limited_requests_total{upstream="u1"} 2' in metrics


@pytest.mark.parametrize("text", ["many", "-1", "inf", "nan"])
def test_malformed_limit_changes_nothing(text):
    """Guards against a spoilt header that lifts a limit or sets one."""
    lines, _ = _serve("Server-Limit: 50", f"Server-Limit: {text}")
    assert [x["event"] for x in lines] == ["upstream-limit-named"]
