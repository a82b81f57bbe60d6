"""Soaks processes with queries of death besides the random faults.

A query of death is a request that crashes every upstream that runs it.  Its
callers resend it to random entries while entries and control instances are
killed, paused, stopped, partitioned and lose disks.  Verified are how often
such requests still reach upstreams, and the answers to all other requests.
"""

import asyncio
import random
from collections import defaultdict

from benchmarks.soak_callers import Caller
from benchmarks.soak_node_faults import NodeFaultInjector
from benchmarks.soak_nodes import NodeSoak
from benchmarks.soak_upstreams import SoakUpstream
from currantdeal.testing.crashing_upstream import CrashingUpstream

POISON = b"poison"
CALLERS = 2
"""Callers that send each query of death."""

LONGEST_PAUSE_S = 0.4
DOWN_S = 2.0

QUARANTINE_S = 4.0
"""Time from the third crash until the request must be quarantined.

Only ``MAX_SENT_LATER`` more of it may reach upstreams afterwards.
"""

MAX_SENT_LATER = 3

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

    def __init__(self, **options):
        """Prepare the processes; ``run`` starts them."""
        self._poison_attempts = []
        self._poison_callers = []
        super().__init__(**options)

    def _make_upstreams(self):
        return [
            *(_upstream(f"s{n}", "shop") for n in range(6)),
            *(_upstream(f"p{n}", "model", "prefill") for n in range(3)),
            *(_upstream(f"d{n}", "model", "decode") for n in range(5)),
        ]

    async def _prepare_round(self, number):
        other = self.rng.choice(("order", "note", "draft"))
        for kind in ("menu", other):
            self._start_poison_callers(number, kind)
        # Each query crashes three upstreams, which then restart.
        await asyncio.sleep(QUARANTINE_S + DOWN_S)
        began_s = asyncio.get_running_loop().time()
        await asyncio.sleep(FAULT_FREE_S)
        self._verify_fault_free(began_s)

    def _start_poison_callers(self, number, kind):
        entries = {n: p.address for n, p in self.entry_proxies.items()}
        for index in range(CALLERS):
            caller = Caller(
                name=f"q{number}-{kind}-{index}",
                entries=entries,
                rng=random.Random(self.rng.randrange(1 << 30)),
                attempts=self._poison_attempts,
                kinds=(kind,),
                body=POISON + f"-{number}-{kind}".encode(),
                longest_pause_s=LONGEST_PAUSE_S,
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
        for body, sent in self._collect_by_body("sent").items():
            self._verify_quarantine(body, sent)

    def _verify_quarantine(self, body, sent):
        crashes = sorted(self._collect_by_body("crashes")[body])
        if len(crashes) < 3:
            return
        quarantined_s = crashes[2][0] + QUARANTINE_S
        late = {number for at_s, number in sent if at_s > quarantined_s}
        self.check(
            "a query of death is not sent on",
            len(late) <= MAX_SENT_LATER,
            f"{body}: {len(crashes)} crashes, {len(late)} sent later",
        )

    def _collect_by_body(self, name):
        by_body = defaultdict(list)
        for upstream in self.upstreams:
            for at_s, number, body in getattr(upstream.standin, name):
                by_body[body].append((at_s, number))
        return by_body


def _upstream(name, service, stage=""):
    standin = CrashingUpstream(
        upstream=name,
        crashes_on=lambda request: request.body.startswith(POISON),
        down_s=DOWN_S,
    )
    return SoakUpstream(
        name=name, service=service, stage=stage, standin=standin
    )
