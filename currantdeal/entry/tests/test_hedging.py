"""Hedged requests with slow, silent and refusing upstreams."""

import asyncio
import time

from currantdeal.entry.hedging import Hedge

DELAY_S = 0.05


async def _answer(granted, *, after_s=0.0):
    await asyncio.sleep(after_s)
    return granted


def test_a_silent_engine_costs_a_caller_only_the_delay():
    """Guards against waiting for the timeout of an unresponsive engine.

    One engine does not answer, and a second one has memory.  With sequential
    requests the caller would wait for the timeout of the first one and miss
    its target.
    """

    async def run():
        released = []
        hedge = Hedge(delay_s=DELAY_S, release_grant=released.append)
        began_s = time.monotonic()
        first = await hedge.request("dark", _answer(None, after_s=0.5))
        second = await hedge.request("good", _answer("room"))
        took_s = time.monotonic() - began_s
        await hedge.drain()
        return first, second, took_s, released

    first, second, took_s, released = asyncio.run(run())
    assert (first, second) == (None, "room")
    assert took_s < 0.3
    assert released == []


def test_late_grant_of_a_slow_engine_is_released():
    """Guards against an unused reservation after a hedged request.

    Two engines grant memory to one caller.  If the second grant were kept,
    its memory would be unavailable to others until it expires.
    """

    async def run():
        released = []
        hedge = Hedge(delay_s=DELAY_S, release_grant=released.append)
        await hedge.request("slow", _answer("late room", after_s=0.15))
        granted = await hedge.request("good", _answer("room"))
        await hedge.drain()
        return granted, released

    granted, released = asyncio.run(run())
    assert granted == "room"
    assert released == ["late room"]


def test_the_first_grant_of_any_pending_request_is_returned():
    async def run():
        hedge = Hedge(delay_s=DELAY_S, release_grant=lambda grant: None)
        await hedge.request("slow", _answer("room", after_s=0.07))
        return await hedge.request("slower", _answer("other", after_s=0.5))

    assert asyncio.run(run()) == "room"


def test_a_refusal_returns_before_the_delay():
    async def run():
        hedge = Hedge(delay_s=5.0, release_grant=lambda grant: None)
        began_s = time.monotonic()
        refused = await hedge.request("full", _answer(None))
        return refused, time.monotonic() - began_s

    refused, took_s = asyncio.run(run())
    assert refused is None
    assert took_s < 1.0


def test_an_upstream_is_pending_until_it_answers():
    async def run():
        hedge = Hedge(delay_s=DELAY_S, release_grant=lambda grant: None)
        await hedge.request("slow", _answer(None, after_s=0.2))
        pending = hedge.is_pending("slow")
        await hedge.drain()
        return pending, hedge.is_pending("slow")

    assert asyncio.run(run()) == (True, False)
