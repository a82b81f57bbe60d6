"""Soaks processes with queries of death besides the random faults.

A query of death is a request that crashes every upstream that runs it, or one
of many with a part of a prompt that does.  Their callers resend them to random
entries while entries and control instances are killed, paused, stopped,
partitioned and lose disks.  Sound requests share the other parts of the
prompts, one caller sends different parts in each request, and for a time
engines also crash under sound requests.  Verified are how often queries of
death still reach upstreams, and the answers to all other requests.
"""

import asyncio
import random
from collections import defaultdict
from functools import partial

from benchmarks.soak_callers import Caller
from benchmarks.soak_node_faults import NodeFaultInjector
from benchmarks.soak_nodes import NodeSoak
from benchmarks.soak_upstreams import SoakUpstream
from currantdeal.testing.crashing_upstream import CrashingUpstream
from currantdeal.testing.prompt_parts import shared_parts

POISON = b"poison"
CULPRIT = "bad"
"""Beginning of the identifiers of parts that crash engines."""

CALLERS = 2
"""Callers that send each query of death."""

LONGEST_PAUSE_S = 0.4
DOWN_S = 2.0

QUARANTINE_S = 4.0
"""Time from the third crash until the request must be quarantined.

Only ``MAX_SENT_LATER`` more of it may reach upstreams afterwards.
"""

MAX_SENT_LATER = 3

CALM_S = 2.0
"""Time in which the sound parts complete before others crash engines.

A part that has never completed may be refused for a moment.
"""

CRASHES_OF_REQUEST = 3
CRASHES_OF_PART = 5
"""Crashes after which a part must be quarantined within ``QUARANTINE_S``."""

SOUND_PARTS = (("a0",), ("a0", "c0"), ("a0", "c1"), ("a0", "b0"))
OTHER_CRASHES = 0.01
"""Share of the sound streams under which an engine crashes, until the time
without faults."""

FLOOD_PARTS = 16

FAULT_FREE_S = 3.0
"""Time without faults during which all other requests must be served."""


class CrashingFaultInjector(NodeFaultInjector):
    """Injects the random faults into entries and control instances only.

    Upstreams are reached without a proxy, since a proxy would accept
    connections on behalf of a process that has ended.  Faults drawn for an
    upstream link go to the link of an entry instead.
    """

    def _disturb_upstream(self):
        return self._disturb_entry()


class CrashingSoak(NodeSoak):
    """A soak with two queries of death in each round."""

    def __init__(self, *, seed, **options):
        """Prepare the processes; ``run`` starts them."""
        self._traffic_rng = random.Random(seed)
        self._poison_attempts = []
        self._poison_callers = []
        self._culprit_of = {}
        self._crashes_otherwise = False
        super().__init__(seed=seed, **options)

    def _make_upstreams(self):
        make = self._make_upstream
        return [
            *(make(f"s{n}", "shop") for n in range(6)),
            *(make(f"p{n}", "model", "prefill") for n in range(3)),
            *(make(f"d{n}", "model", "decode") for n in range(8)),
        ]

    def _make_upstream(self, name, service, stage=""):
        standin = CrashingUpstream(
            upstream=name, crashes_on=self._crashes_on, down_s=DOWN_S
        )
        return SoakUpstream(
            name=name, service=service, stage=stage, standin=standin
        )

    def _crashes_on(self, request):
        if request.body.startswith(POISON):
            return True
        for part in shared_parts(request):
            if part.startswith(CULPRIT):
                self._culprit_of[request.request_id] = part
                return True
        is_run = request.is_generation and not request.is_prefill
        if is_run and self._crashes_otherwise:
            return self._traffic_rng.random() < OTHER_CRASHES
        return False

    def _caller_options(self, index):
        if index == 0:
            return {"parts": self._draw_flood}
        return {"parts": partial(self._traffic_rng.choice, SOUND_PARTS)}

    def _draw_flood(self):
        rng = self._traffic_rng
        return [f"{rng.randrange(1 << 60):x}" for _ in range(FLOOD_PARTS)]

    async def _prepare_round(self, number):
        other = self.rng.choice(("order", "note", "draft"))
        for kind in ("menu", other):
            self._start_poison_callers(number, kind)
        await asyncio.sleep(CALM_S)
        for part in (f"{CULPRIT}{number}0", f"{CULPRIT}{number}1"):
            self._start_part_callers(part)
        self._crashes_otherwise = True
        await asyncio.sleep(QUARANTINE_S)
        self._crashes_otherwise = False
        # The upstreams that crashed restart and are used again.
        await asyncio.sleep(QUARANTINE_S)
        began_s = asyncio.get_running_loop().time()
        await asyncio.sleep(FAULT_FREE_S)
        self._verify_fault_free(began_s)

    def _start_poison_callers(self, number, kind):
        self._start_poison(
            f"q{number}-{kind}",
            kinds=(kind,),
            body=POISON + f"-{number}-{kind}".encode(),
        )

    def _start_part_callers(self, part):
        self._start_poison(
            part, kinds=("note", "draft"), parts=lambda: ("a0", part, "c0")
        )

    def _start_poison(self, name, **options):
        entries = {n: p.address for n, p in self.entry_proxies.items()}
        for index in range(CALLERS):
            caller = Caller(
                name=f"{name}-{index}",
                entries=entries,
                rng=random.Random(self.rng.randrange(1 << 30)),
                attempts=self._poison_attempts,
                longest_pause_s=LONGEST_PAUSE_S,
                **options,
            )
            self._poison_callers.append(asyncio.ensure_future(caller.run()))

    def _verify_fault_free(self, began_s):
        for attempt in self.attempts:
            if attempt.began_s >= began_s:
                self.check(
                    "requests beside a query of death are served",
                    attempt.status == 200 and attempt.whole,
                    f"{attempt.request_id}: {attempt.status}",
                )

    def _verify(self):
        for task in self._poison_callers:
            task.cancel()
        super()._verify()
        for attempt in self.attempts:
            self.check(
                "no other request is quarantined",
                attempt.status != 429,
                f"{attempt.request_id}: {attempt.status}",
            )
        crashes = self._collect("crashes")
        for query, sent in self._collect("sent").items():
            self._verify_quarantine(query, sent, sorted(crashes[query]))

    def _verify_quarantine(self, query, sent, crashes):
        is_part = isinstance(query, str)
        allowed = CRASHES_OF_PART if is_part else CRASHES_OF_REQUEST
        if len(crashes) < allowed:
            return
        quarantined_s = crashes[allowed - 1][0] + QUARANTINE_S
        late = {number for at_s, number in sent if at_s > quarantined_s}
        self.check(
            "a query of death is not sent on",
            len(late) <= MAX_SENT_LATER,
            f"{query}: {len(crashes)} crashes, {len(late)} sent later",
        )

    def _collect(self, name):
        """Return what was sent or crashed, by the part or else the body."""
        found = defaultdict(list)
        for upstream in self.upstreams:
            for at_s, number, body in getattr(upstream.standin, name):
                query = self._culprit_of.get(number)
                if query is None and body.startswith(POISON):
                    query = body
                if query is not None:
                    found[query].append((at_s, number))
        return found
