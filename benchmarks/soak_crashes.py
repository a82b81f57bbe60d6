"""Requests that crash the upstreams that run them, beside the random faults.

Their callers send them again and again, to any entry, while entries and
control are killed, paused, stopped, cut off and lose disks.  Judged is how
often they still reach upstreams, and what all other requests get.
"""

import asyncio
import random
from collections import defaultdict

from benchmarks.soak_callers import Caller
from benchmarks.soak_node_faults import NodeFaults
from benchmarks.soak_nodes import NodeSoak, Upstream
from currantdeal.testing.crashing_upstream import CrashingUpstream

POISON = b"poison"
CALLERS = 2
"""Callers that send each request of this kind."""

LONGEST_PAUSE_S = 0.4
DOWN_S = 2.0

KNOWN_S = 4.0
"""Time after the third crash from which few more may be sent."""

MOST_SENT_LATER = 3

CALM_S = 3.0
"""Time without faults for which all other requests must be served."""


class CrashingFaults(NodeFaults):
    """The random faults on entries and control.

    Upstreams are reached without a proxy, since a proxy takes connections for
    a process that has ended.
    """

    def _harm_upstream(self):
        return self._harm_entry()


class CrashingSoak(NodeSoak):
    """A soak in which each round brings two requests that crash upstreams."""

    def __init__(self, **options):
        """Start nothing before ``run``."""
        self._poisoned = []
        self._senders = []
        super().__init__(**options)

    def _make_upstreams(self):
        return [
            *(_upstream(f"s{n}", "shop") for n in range(6)),
            *(_upstream(f"p{n}", "model", "prefill") for n in range(3)),
            *(_upstream(f"d{n}", "model", "decode") for n in range(5)),
        ]

    async def _before_faults(self, number):
        other = self.chance.choice(("order", "note", "draft"))
        for kind in ("menu", other):
            self._begin_senders(number, kind)
        # Each crashes three upstreams, which come back.
        await asyncio.sleep(KNOWN_S + DOWN_S)
        began_s = asyncio.get_running_loop().time()
        await asyncio.sleep(CALM_S)
        self._judge_calm(began_s)

    def _begin_senders(self, number, kind):
        entries = {n: p.address for n, p in self.entry_proxies.items()}
        for sender in range(CALLERS):
            caller = Caller(
                name=f"q{number}-{kind}-{sender}",
                entries=entries,
                chance=random.Random(self.chance.randrange(1 << 30)),
                attempts=self._poisoned,
                kinds=(kind,),
                body=POISON + f"-{number}-{kind}".encode(),
                longest_pause_s=LONGEST_PAUSE_S,
            )
            self._senders.append(asyncio.ensure_future(caller.run()))

    def _judge_calm(self, began_s):
        for one in self.attempts:
            if one.began_s >= began_s:
                self.check(
                    "requests beside a query of death are served",
                    one.status == 200 and one.whole,
                    f"{one.number}: {one.status}",
                )

    def _judge(self):
        for task in self._senders:
            task.cancel()
        super()._judge()
        for one in self.attempts:
            self.check(
                "no other request is quarantined",
                one.status != 429,
                f"{one.number}: {one.status}",
            )
        for body, sent in self._by_body("sent").items():
            self._judge_sent(body, sent)

    def _judge_sent(self, body, sent):
        crashes = sorted(self._by_body("crashes")[body])
        if len(crashes) < 3:
            return
        known_s = crashes[2][0] + KNOWN_S
        late = {number for at_s, number in sent if at_s > known_s}
        self.check(
            "a query of death is not sent on",
            len(late) <= MOST_SENT_LATER,
            f"{body}: {len(crashes)} crashes, {len(late)} sent later",
        )

    def _by_body(self, name):
        found = defaultdict(list)
        for upstream in self.upstreams:
            for at_s, number, body in getattr(upstream.standin, name):
                found[body].append((at_s, number))
        return found


def _upstream(name, service, stage=""):
    standin = CrashingUpstream(
        upstream=name,
        crashes_under=lambda request: request.body.startswith(POISON),
        down_s=DOWN_S,
    )
    return Upstream(name=name, service=service, stage=stage, standin=standin)
