"""Questions about requests that are not sent, and what has left."""

import asyncio
from dataclasses import replace

import msgspec

from currantdeal.entry.explanation import Question, explain
from currantdeal.registry import Stage
from currantdeal.testing.entry_world import (
    config_body,
    entry_world,
    listing,
    request_bytes,
)
from currantdeal.testing.platform_upstream import StandInUpstream

MENU = Question(host="cakes.example", path="/menu/1")
NOTE = Question(
    host="cakes.example",
    path="/note/1",
    prompt_tokens=3_000,
    max_output_tokens=900,
)


def _in_world(check, *, config=None):
    """Run a check with an upstream here and one in another region."""

    async def run():
        here, away = (StandInUpstream(upstream=n) for n in ("u1", "u2"))
        async with entry_world(config=config) as world:
            for standin, place in ((here, "dc1"), (away, "dc9")):
                await standin.start()
                world.announce(standin)
                plain = world.context.view.record(standin.upstream)
                engines = [
                    replace(
                        plain,
                        upstream=f"{plain.upstream}-{stage.value}",
                        address=f"{place}-{stage.value}:1",
                        service="model",
                        stage=stage,
                    )
                    for stage in (Stage.PREFILL, Stage.DECODE)
                ]
                world.context.view.merge_upstreams(
                    [
                        replace(record, data_center=place, sequence=99)
                        for record in (plain, *engines)
                    ],
                    complete=False,
                )
            await check(world, here, away)
            return here, away

    return asyncio.run(run())


def test_explanation_sends_nothing_and_changes_no_counter():
    """Guards against a question that costs an upstream or a budget."""

    async def check(world, *_standins):
        before = world.context.metrics.render()[1]
        state = world.context.random.getstate()
        for question in (MENU, NOTE):
            found = explain(world.context, question)
            assert not found.refusal
            assert [p.decision[:2] for p in found.pools][0] == "u1"
        assert world.context.metrics.render()[1] == before
        assert world.context.random.getstate() == state
        assert world.context.load.report(unreachable=()).held == {}

    standins = _in_world(check)
    assert not any(standin.requests for standin in standins)


def test_explanation_agrees_with_the_request_that_is_sent():
    """The upstream here is full, so the request leaves."""

    async def check(world, here, away):
        world.context.health.record_load("u1", 16, now_s=world.context.now_s)
        decision = explain(world.context, MENU).pools[0].decision
        assert decision == "u2 in dc9"
        await world.exchange(request_bytes("/menu/1", method="GET", body=b""))
        assert (len(here.runs), len(away.runs)) == (0, 1)
        text = world.context.metrics.render()[1].decode()
        assert 'left_total{pool="plain",why="cheaper"} 1' in text

    _in_world(check)


def test_request_without_upstreams_here_is_counted_as_only_there():
    async def check(world, here, away):
        world.context.view.merge_upstreams(
            [
                r
                for r in world.context.view.ready("shop")
                if r.upstream == "u2"
            ],
            complete=True,
        )
        await world.exchange(request_bytes("/menu/1", method="GET", body=b""))
        text = world.context.metrics.render()[1].decode()
        assert 'left_total{pool="plain",why="only-there"} 1' in text

    _in_world(check)


def test_explanation_names_unknown_organisation_and_missing_route():
    config = config_body(organisations=listing(bakery=["secret-key"]))

    async def check(world, *_standins):
        unknown = explain(world.context, MENU)
        assert "does not exist" in unknown.refusal
        known = msgspec.structs.replace(MENU, organisation="bakery")
        found = explain(world.context, known)
        assert not found.refusal
        assert b"secret-key" not in msgspec.json.encode(found)
        lost = msgspec.structs.replace(MENU, path="/nowhere/")
        assert "no route" in explain(world.context, lost).refusal

    _in_world(check, config=config)
