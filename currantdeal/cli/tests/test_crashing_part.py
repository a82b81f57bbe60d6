"""Tests of a part of a prompt that crashes engines, with real processes.

Load pattern: query of death, where no two requests are alike.
"""

import asyncio
import itertools
import random
import time
from functools import partial

import pytest

from currantdeal.testing.crashing_fleet import CrashingFleet
from currantdeal.testing.entry_world import config_body
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.prompt_parts import (
    MIXES,
    PromptSender,
    shared_parts,
)

START_S = 20.0
CALM_S = 4.0
STORM_S = 18.0
"""Time for which requests with the part are sent."""

CRASHES = 5
CONTACT_S = 4.0
MAX_LATE = 3
"""Requests with the part that may reach engines later than ``CONTACT_S``
after the fifth crash."""

MIN_SERVED = 0.9
"""Least share of the sound requests that begin after the verdict, as a
multiple of the share before the first crash."""

MIN_ANSWERS = 20
"""Answers from which a share is computed."""

POISON_PAUSES_S = (0.1, 0.5)
SOUND_PAUSES_S = (0.02, 0.15)
OTHER_CRASHES = 0.01


class _Run:
    """Processes, engines that crash on a part, and callers of both kinds."""

    def __init__(self, *, folder, mix, seed, other_crashes=0.0, **options):
        self.cluster = NodeCluster(folder=folder, control=3, entries=4)
        self.mix = mix
        self._rng = random.Random(seed)
        self._other_crashes = other_crashes
        self.culprit_of = {}
        self.fleet = CrashingFleet(
            cluster=self.cluster,
            services=1,
            engines=10,
            crashes_on=self._crashes_on,
            down_s=2.0,
            **options,
        )
        self.sound = [self._sender() for _ in range(4)]
        self.poison = [self._sender() for _ in range(2)]
        self.began_s = 0.0

    async def run(self, disturb=None):
        """Serve sound callers, then also those with the part."""
        await asyncio.to_thread(
            self.cluster.put_config, config_body(version=1)
        )
        await self.fleet.start()
        await self._wait_until_served()
        sound = partial(self._rng.choice, self.mix.sound)
        tasks = [
            asyncio.ensure_future(s.run(sound, pauses_s=SOUND_PAUSES_S))
            for s in self.sound
        ]
        await asyncio.sleep(CALM_S)
        await self._wait_for_answers(
            lambda: [a for s in self.sound for a in s.answers]
        )
        self.began_s = asyncio.get_running_loop().time()
        tasks += [
            asyncio.ensure_future(
                s.run(
                    partial(next, itertools.cycle(self.mix.crashing)),
                    pauses_s=POISON_PAUSES_S,
                )
            )
            for s in self.poison
        ]
        if disturb:
            tasks.append(asyncio.ensure_future(disturb(self)))
        await asyncio.sleep(STORM_S)
        await self._wait_for_answers(lambda: self.answers()[1])
        for task in tasks:
            task.cancel()
        self.fleet.stop()

    def crashes(self, culprit):
        """Return the times of the crashes under a part."""
        return [
            at_s
            for at_s, number, _ in self.fleet.crashes
            if self.culprit_of.get(number) == culprit
        ]

    def late(self, culprit):
        """Return the requests with a part that were sent too late."""
        crashes = self.crashes(culprit)
        if len(crashes) < CRASHES:
            return set()
        return {
            number
            for standin in self.fleet.standins.values()
            for at_s, number, _ in standin.sent
            if self.culprit_of.get(number) == culprit
            and at_s > crashes[CRASHES - 1] + CONTACT_S
        }

    def served(self):
        """Return the shares of sound requests that began, before and after."""
        before, after = self.answers()
        return _share_begun(before), _share_begun(after)

    def answers(self):
        """Return the sound requests' answers, before and after the crashes."""
        fifth = [self.crashes(c)[:CRASHES][-1] for c in self.mix.culprits]
        after_s = max(fifth) + 2 * CONTACT_S
        answers = [a for s in self.sound for a in s.answers]
        before = [a for a in answers if a.began_s < self.began_s]
        after = [a for a in answers if a.began_s >= after_s]
        return before, after

    async def _wait_for_answers(self, answers):
        """Wait until there are enough of them, on a busy machine too."""
        deadline_s = time.monotonic() + START_S
        while len(answers()) < MIN_ANSWERS and time.monotonic() < deadline_s:
            await asyncio.sleep(0.2)

    def _sender(self):
        return PromptSender(
            addresses=self._addresses,
            rng=random.Random(self._rng.randrange(1 << 30)),
        )

    def _addresses(self):
        texts = (e.settings["listen"]["callers"] for e in self.cluster.entries)
        split = (text.rpartition(":") for text in texts)
        return [(host, int(port)) for host, _, port in split]

    def _crashes_on(self, request):
        parts = shared_parts(request)
        for culprit in self.mix.culprits:
            if culprit in parts:
                self.culprit_of[request.request_id] = culprit
                return True
        return (
            not request.is_prefill
            and request.is_generation
            and self._rng.random() < self._other_crashes
        )

    async def _wait_until_served(self):
        deadline_s = time.monotonic() + START_S
        for address in self._addresses():
            sender = PromptSender(
                addresses=lambda address=address: [address], rng=self._rng
            )
            while not (await sender.send(self.mix.sound[0])).is_whole:
                assert time.monotonic() < deadline_s, "an entry does not serve"
                await asyncio.sleep(0.05)


def _share_begun(answers):
    assert len(answers) >= MIN_ANSWERS
    return sum(a.has_begun for a in answers) / len(answers)


def _check(run):
    mix = run.mix
    for culprit in mix.culprits:
        assert len(run.late(culprit)) <= MAX_LATE
    before, after = run.served()
    assert after >= MIN_SERVED * before
    refused = [a for s in run.sound for a in s.answers if a.status == 429]
    assert refused == []


def _run(folder, mix, disturb=None, **options):
    run = _Run(folder=folder, mix=mix, seed=1, **options)

    async def play():
        with run.cluster:
            await run.run(disturb)

    asyncio.run(play())
    return run


async def _kill_one_after_the_other(run):
    """Kill a control process and two entries, and start them again."""
    for process in (run.cluster.control[0], *run.cluster.entries[:2]):
        await asyncio.to_thread(process.kill)
        await asyncio.to_thread(process.start)
        await asyncio.sleep(1.0)


@pytest.mark.parametrize("mix", MIXES, ids=str)
def test_part_that_crashes_engines_is_not_sent_on(tmp_path, mix):
    """Guards against requests that share a part and crash all engines.

    No two of them are alike, and sound requests share their other parts.
    """
    _check(_run(tmp_path, mix))


def test_part_that_crashes_engines_is_known_after_restarts(tmp_path):
    """Guards against a restart that loses what is known of a part."""
    _check(_run(tmp_path, MIXES[0], _kill_one_after_the_other))


def test_part_is_found_among_engines_that_crash_by_themselves(tmp_path):
    """Guards against other crashes that hide the part."""
    run = _run(tmp_path, MIXES[0], other_crashes=OTHER_CRASHES)
    assert len(run.late("bad")) <= MAX_LATE


def test_part_that_crashes_engines_between_two_events_is_not_sent_on(tmp_path):
    """Guards against crashes in mid-answer that count for too little."""
    _check(_run(tmp_path, MIXES[0], events_before_crash=3))
