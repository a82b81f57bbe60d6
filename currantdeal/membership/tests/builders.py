"""Test data and a simulated network for membership tests."""

import random

from currantdeal.core import Role, Upstream, UpstreamKind
from currantdeal.membership import (
    Swim,
    SwimTiming,
    decode_message,
    encode_message,
    first_incarnation,
)
from currantdeal.ports import Member

STEP_S = 0.1


def build_member(number, *, wall_s=1.0, region="lagos", **changes):
    fields = {
        "instance": f"i{number}",
        "incarnation": first_incarnation(wall_s),
        "caller_address": f"127.0.0.1:{8000 + number}",
        "peer_address": f"127.0.0.1:{9000 + number}",
        "region": region,
        "data_center": f"{region}-1",
    }
    return Member(**(fields | changes))


def build_upstream(name="decode-1", **changes):
    fields = {
        "upstream_id": name,
        "incarnation": 1,
        "address": "127.0.0.1:7001",
        "kind": UpstreamKind.ENGINE,
        "roles": (Role.DECODE,),
        "targets": ("tartas",),
        "region": "lagos",
        "data_center": "lagos-1",
        "pieces_total": 100,
    }
    return Upstream(**(fields | changes))


class SimulatedNetwork:
    """Several ``Swim`` instances and the datagrams between them."""

    def __init__(self, *, count, seed=1, loss=0.0):
        self.rng = random.Random(seed)
        self.loss = loss
        self.now_s = 0.0
        self.swims = {}
        self.blocked_links = set()
        self.sent_bytes = dict.fromkeys(range(count), 0)
        self.in_flight = []
        for number in range(count):
            self.start(number)

    def start(self, number, *, wall_s=1.0):
        seeds = ("127.0.0.1:9000", "127.0.0.1:9001")
        me = build_member(number, wall_s=wall_s)
        self.swims[number] = Swim(
            me=me,
            seeds=seeds,
            timing=SwimTiming(),
            rng=random.Random(self.rng.random()),
            now_s=self.now_s,
        )

    def crash(self, number):
        del self.swims[number]

    def partition(self, one, other):
        """Drop all datagrams between two groups, in both directions."""
        self.blocked_links = {(a, b) for a in one for b in other}
        self.blocked_links |= {(b, a) for a, b in self.blocked_links}

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def run_until(self, condition, limit_s=60.0):
        """Run until a condition holds; return the elapsed time."""
        begin_s = self.now_s
        while not condition():
            self.step()
            assert self.now_s < begin_s + limit_s, "did not come true"
        return self.now_s - begin_s

    def step(self):
        self.now_s += STEP_S
        delivered, self.in_flight = self.in_flight, []
        self.rng.shuffle(delivered)
        for number, raw in delivered:
            if number in self.swims:
                message = decode_message(raw)
                sends = self.swims[number].receive(message, self.now_s)
                self._transmit(number, sends)
        for number, swim in list(self.swims.items()):
            self._transmit(number, swim.tick(self.now_s))

    def statuses(self, seen_by):
        return {
            member.instance: member.status.value
            for member in self.swims[seen_by].members()
        }

    def all_see(self, number, status):
        return all(
            self.statuses(other).get(f"i{number}") == status
            for other in self.swims
            if other != number
        )

    def _transmit(self, sender, sends):
        for send in sends:
            receiver = int(send.address.rpartition(":")[2]) - 9000
            raw = encode_message(send.message)
            self.sent_bytes[sender] += len(raw)
            lost = self.rng.random() < self.loss
            if not lost and (sender, receiver) not in self.blocked_links:
                self.in_flight.append((receiver, raw))
